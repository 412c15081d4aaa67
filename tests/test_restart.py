"""What survives the end of a process: SIGKILL and SIGTERM with messages in each state, in a real process."""

from __future__ import annotations

import asyncio
import json
import signal
import sys

import pytest

from decisions.engine import DecisionEngine
from relay import config
from relay.__main__ import serve
from relay.discovery_address import DiscoveryAddressFile
from relay.journal import Journal
from standins.scripted import (
    ROOT,
    Request,
    World,
    deliver_all,
    no_answer,
    with_timeout,
)


async def test_a_held_message_is_delivered_by_the_next_life(world: World) -> None:
    client = await world.start_relay()
    assert await client.submit("m1", "unsafe") == b"+OK"
    await world.kill()
    host = await world.add_host("h1")
    await world.start_relay()
    assert (await host.wait_request(0)).refs == ["m1"]


@pytest.mark.parametrize("cls", ["keyed", "safe"])
async def test_a_call_cut_off_by_a_kill_is_repeated_where_that_is_allowed(world: World, cls: str) -> None:
    """A keyed message goes only to the zone of its first attempt, even where another one costs less."""
    first = await world.add_host("h1", no_answer, site="b")
    client = await world.start_relay()
    await client.submit("m1", cls)
    await first.wait_request(0)
    other = await world.add_host("h2", site="a")
    first.default_reply = deliver_all
    await world.kill_and_restart()
    if cls == "keyed":
        call = await first.wait_request(1)
        assert call.headers["idempotency-key"] == "key-m1"
        assert other.requests == []
    else:
        assert (await other.wait_request(0)).refs == ["m1"]


async def test_an_unsafe_call_cut_off_by_a_kill_is_failed(world: World) -> None:
    host = await world.add_host("h1", no_answer)
    client = await world.start_relay()
    await client.submit("m1", "unsafe")
    await host.wait_request(0)
    await world.kill_and_restart()
    assert await world.discovery.wait_notice("m1") == {"ref": "m1", "result": "dead"}
    assert len(host.requests) == 1


async def test_an_attempt_that_never_ran_may_be_repeated_by_the_next_life(world: World) -> None:
    host = await world.add_host("h1", lambda request: request.answer(429, X_Retry_In_Ms="20000"))
    client = await world.start_relay()
    await client.submit("m1", "unsafe")
    await host.wait_request(0)
    await client.command(b"PING")
    await world.wait_journaled(b'"not"')
    host.default_reply = deliver_all
    await world.kill_and_restart()
    assert (await host.wait_request(1)).refs == ["m1"]


async def test_a_finished_message_is_never_sent_again(world: World) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    await client.submit("m1")
    await host.wait_request(0)
    await world.wait_journaled(b'"over"')
    client = await world.kill_and_restart()
    await client.submit("m2")
    await host.wait_request(1)
    assert [request.refs for request in host.requests] == [["m1"], ["m2"]]


async def test_an_unconfirmed_notice_is_sent_again(world: World) -> None:
    client = await world.start_relay()
    world.discovery.script += [no_answer] * 2  # the watch, then the notice
    await world.kill_and_restart()
    client = await world.connect_client()
    world.discovery.default_reply, kept = no_answer, world.discovery.default_reply
    await client.submit("m1", d=60)
    await world.discovery.wait_until(
        lambda: any(b"m1" in request.body for request in world.discovery.requests)
    )
    world.discovery.default_reply = kept
    await world.kill_and_restart()
    assert (await world.discovery.wait_notice("m1"))["result"] == "bounced"


async def test_a_message_whose_deadline_passed_gets_its_notice_after_the_restart(world: World) -> None:
    client = await world.start_relay()
    await client.submit("m1", d=1500)
    await world.kill()
    assert world.discovery.notices == []
    await asyncio.sleep(1.5)
    await world.start_relay()
    assert (await world.discovery.wait_notice("m1"))["result"] == "bounced"


async def test_the_configured_hosts_serve_until_discovery_answers(world: World) -> None:
    host = await world.add_host("h1")
    world.known_hosts = list(world.discovery.hosts.values())
    world.discovery.is_down = True
    client = await world.start_relay()
    await client.submit("m1")
    assert (await host.wait_request(0)).refs == ["m1"]


async def test_an_incomplete_record_loses_nothing_before_or_behind_it(world: World) -> None:
    client = await world.start_relay()
    await client.submit("m1")
    await world.kill()
    path = world.state_folder / "journal"
    path.write_bytes(path.read_bytes() + path.read_bytes()[:40])
    client = await world.start_relay()
    await client.submit("m2")
    await world.kill()
    host = await world.add_host("h1")
    await world.start_relay()
    await host.wait_until(lambda: {ref for request in host.requests for ref in request.refs} == {"m1", "m2"})


async def test_sigterm_lets_calls_end_and_leaves_the_rest(world: World) -> None:
    host = await world.add_host("h1", no_answer)
    client = await world.start_relay()
    await client.submit("m1", "unsafe")
    call = await host.wait_request(0)
    await client.submit("m2", dest=2)
    assert world.process is not None
    world.process.terminate()
    call.answer()
    assert await client.command(b"PING") == b"+PONG"
    assert await client.submit("m3", dest=2) == b"+OK"  # accepted, for this life or the next
    assert await (await world.connect_client()).submit("m4", dest=2) == b"+OK"
    assert await with_timeout(client.reader.read()) == b""  # closed by the relay between two requests
    assert await with_timeout(world.process.wait()) == 0
    late = await world.add_host("h2", block=2)
    await world.start_relay()
    await late.wait_until(
        lambda: {ref for request in late.requests for ref in request.refs} == {"m2", "m3", "m4"}
    )
    assert len(host.requests) == 1
    assert world.discovery.notices == []


async def test_a_recovered_message_of_an_unknown_class_is_failed(world: World) -> None:
    """The decision module silently drops an unknown class, so the message would be lost."""
    client = await world.start_relay()
    await client.submit("m1", "unsafe")
    await world.kill()
    world.settings["request_classes"] = world.settings["request_classes"][:2]
    journal = Journal(world.state_folder, 3_000_000)
    journal.accept("m2", {"odd": 1}, b"")
    journal.close()
    await world.start_relay()
    assert (await world.discovery.wait_notice("m1"))["result"] == "dead"
    assert (await world.discovery.wait_notice("m2"))["result"] == "dead"


async def test_sighup_moves_the_watch_and_the_notices(world: World) -> None:
    """The new address is used at once, though the environment variable still holds the old one."""
    client = await world.start_relay()
    await client.submit("m1", d=30)
    await world.discovery.wait_notice("m1")
    await world.move_discovery()
    host = await world.add_host("h1")  # listed only at the new address
    await client.submit("m2")
    assert (await host.wait_request(0)).refs == ["m2"]
    await client.submit("m3", dest=2, d=30)
    assert (await world.discovery.wait_notice("m3"))["result"] == "bounced"


@pytest.mark.parametrize("how", ["delivered", "failed", "failed, its notice unconfirmed"])
async def test_an_id_that_comes_again_behind_a_restart_does_not_run_twice(world: World, how: str) -> None:
    """Guards against a second run: a killed relay's client may not have read the reply."""
    host = await world.add_host("h1")
    client = await world.start_relay()
    if how != "delivered":
        host.script.append(Request.reset)
    if how == "failed, its notice unconfirmed":
        world.discovery.default_reply = lambda request: (
            request.answer(500) if request.method == "POST" else world.discovery._reply(request)
        )
    assert await client.submit("m1", "unsafe") == b"+OK"
    await world.wait_journaled(b'"end"' if "unconfirmed" in how else b'"over"')
    client = await world.kill_and_restart()
    assert await client.submit("m1", "unsafe") == b"+OK"
    assert await client.submit("m2", "unsafe") == b"+OK"
    await host.wait_until(lambda: host.requests[-1].refs == ["m2"])
    assert [request.refs for request in host.requests] == [["m1"], ["m2"]]


async def test_sighup_never_ends_a_relay_that_shuts_down(world: World) -> None:
    """Guards against a crash: the event loop gives up its handlers before the process has exited."""
    await world.start_relay()
    assert world.process is not None
    world.process.terminate()
    while world.process.returncode is None:
        world.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.001)
    assert world.process.returncode == 0


async def test_a_restart_behind_a_move_of_discovery_uses_the_new_address(world: World) -> None:
    """Guards against lost notices: the variables of the first start name an address that nobody serves."""
    await world.start_relay()
    await world.move_discovery()
    client = await world.kill_and_restart()
    host = await world.add_host("h1")
    await client.submit("m1")
    assert (await host.wait_request(0)).refs == ["m1"]
    await client.submit("m2", dest=2, d=30)
    assert (await world.discovery.wait_notice("m2"))["result"] == "bounced"


async def test_the_variable_names_discovery_where_the_configuration_file_does_not(world: World) -> None:
    environment = world.environment()
    path = world.folder / "config.json"
    content = json.loads(path.read_text(encoding="utf-8"))
    del content["discovery"]
    path.write_text(json.dumps(content), encoding="utf-8")
    assert config.load(environment).discovery == ("127.0.0.1", world.discovery.port)


async def test_sighup_with_an_unusable_configuration_file_changes_nothing(world: World) -> None:
    client = await world.start_relay()
    await world.discovery.wait_request(0)
    (world.folder / "config.json").write_text("{", encoding="utf-8")
    assert world.process is not None
    world.process.send_signal(signal.SIGHUP)
    host = await world.add_host("h1")
    await client.submit("m1")
    assert (await host.wait_request(0)).refs == ["m1"]


@pytest.mark.parametrize("missing", ["settings", "listen", "known"])
async def test_a_missing_key_of_the_configuration_ends_the_start_unless_optional(
    world: World, missing: str
) -> None:
    """Without settings or an address the relay exits with 2; without configured hosts it serves."""
    environment = world.environment()
    path = world.folder / "config.json"
    config = json.loads(path.read_text(encoding="utf-8"))
    del config[missing]
    path.write_text(json.dumps(config), encoding="utf-8")
    world.process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "relay", cwd=ROOT, env=environment
    )
    world.processes.append(world.process)
    if missing == "known":
        assert await (await world.connect_client()).command(b"PING") == b"+PONG"
    else:
        assert await with_timeout(world.process.wait()) == 2


async def test_an_error_in_the_step_loop_is_logged_and_ends_the_process(
    world: World, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The error cannot be attributed to one message, and the decision module's state is unknown after it."""

    def broken(*_args: object) -> None:
        raise RuntimeError("broken")

    monkeypatch.setattr(DecisionEngine, "step", broken)
    environment = world.environment()
    assert await with_timeout(serve(config.load(environment), DiscoveryAddressFile(environment))) == 1
    assert "an error in the step loop ends the process" in caplog.text
    assert "RuntimeError: broken" in caplog.text
