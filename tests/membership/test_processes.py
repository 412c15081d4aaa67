"""Members as real processes: killed, stopped, restarted, started twice, and sent garbage."""

from __future__ import annotations

import asyncio
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest
import pytest_asyncio

from membership import config, wire
from membership.generation import GenerationError, next_generation
from membership.messages import Gossip, Ping, State, Update
from membership.transport import SenderRateLimiter
from standins.scripted import ROOT
from tests.membership.members import PORT, Members, states
from tomlconfig import ConfigError

FLEET = wire.hash_fleet_name("test")


@pytest_asyncio.fixture
async def five(tmp_path: Path) -> AsyncIterator[Members]:
    """Five members whose views agree."""
    members = Members(tmp_path, 5)
    await members.start(*members.names)
    await members.agreed(*members.names)
    yield members
    await members.stop()


async def test_a_killed_member_is_detected_by_all_and_its_restart_is_a_new_life(five: Members) -> None:
    rest = [name for name in five.names if name != "m3"]
    before = {item["name"]: item["generation"] for item in (await five.view("m0"))["members"]}
    await five.kill("m3")
    await five.until(rest, lambda view: states(view, "failed") == {"m3"})
    await five.agreed(*rest)
    await five.start("m3")
    await five.agreed(*five.names)
    after = {item["name"]: item["generation"] for item in (await five.view("m0"))["members"]}
    assert after["m3"] > before.pop("m3")
    assert all(after[name] == generation for name, generation in before.items())
    for name in rest:
        states_seen = await five.states_seen(name)
        assert not {(other, "failed") for other in rest} & states_seen, "no other was declared failed"


async def test_a_stopped_member_is_suspected_and_refutes_it(five: Members) -> None:
    """SIGSTOP until another member suspects it: after SIGCONT it refutes, and keeps its generation."""
    generation = (await five.view("m2"))["generation"]
    rest = [name for name in five.names if name != "m2"]
    five.signal(signal.SIGSTOP, "m2")
    await five.until(rest[:1], lambda view: "m2" in states(view, "suspect", "failed"))
    five.signal(signal.SIGCONT, "m2")
    await five.agreed(*five.names)
    assert (await five.view("m2"))["generation"] == generation


async def test_most_members_are_killed_at_once_and_return_at_once(five: Members) -> None:
    """Both seeds are among them."""
    await five.kill("m0", "m1", "m3", "m4")
    await five.until(["m2"], lambda view: len(states(view, "failed")) == 4)
    await five.start("m0", "m1", "m3", "m4")
    await five.agreed(*five.names)


async def test_a_member_that_leaves_is_not_declared_failed(five: Members) -> None:
    rest = five.names[:4]
    five.signal(signal.SIGTERM, "m4")
    assert await five.processes["m4"].wait() == 0
    await five.until(rest, lambda view: states(view, "left") == {"m4"})
    for name in rest:
        assert ("m4", "failed") not in await five.states_seen(name)


async def test_the_earlier_of_two_lives_under_one_name_ends(five: Members) -> None:
    """The same name is started at another address and without the folder: the later life stays a member."""
    first = five.processes["m4"]
    five.addresses["m4"] = five.addresses["m4"].rsplit(".", 1)[0] + ".99"
    shutil.rmtree(five.folder / "m4")
    await five.start("m4")
    assert await asyncio.wait_for(first.wait(), 60) == 3
    await five.agreed(*five.names)
    addresses = {item["name"]: item["address"] for item in (await five.view("m0"))["members"]}
    assert addresses["m4"] == f"{five.addresses['m4']}:{PORT}"


async def test_members_that_start_before_the_seeds_join_later(tmp_path: Path) -> None:
    """They find each other once the seeds run."""
    members = Members(tmp_path, 4)
    try:
        await members.start("m2", "m3")
        await members.until(["m2", "m3"], lambda view: view["living"] == 1)
        await members.start("m0", "m1")
        await members.agreed(*members.names)
    finally:
        await members.stop()


async def test_twenty_members_agree_and_lose_a_quarter_of_them(tmp_path: Path) -> None:
    members = Members(tmp_path, 20)
    try:
        await members.start(*members.names)
        await members.agreed(*members.names)
        await members.kill(*members.names[15:])
        await members.until(members.names[:15], lambda view: len(states(view, "failed")) == 5)
        await members.agreed(*members.names[:15])
    finally:
        await members.stop()


async def test_unreadable_datagrams_are_counted_not_answered_and_change_nothing(five: Members) -> None:
    """Garbage, a truncated message, another version, another fleet, and a flood beyond a sender's rate."""
    digest = await five.agreed(*five.names)
    stranger = Update("stranger", "127.0.0.1:9", "", 1 << 50, 0, State.ALIVE)
    whole = wire.encode(FLEET, Gossip((stranger,)))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        target = (five.addresses["m0"], PORT)
        own_address = "{}:{}".format(*sock.getsockname())
        for data in (
            b"",
            b"x",
            b"noise" * 100,
            whole[:-3],
            whole[:2] + bytes([9]) + whole[3:],
            wire.encode(wire.hash_fleet_name("other"), Gossip((stranger,))),
            wire.encode(wire.hash_fleet_name("other"), Ping(1, "m0", own_address)),
        ):
            sock.sendto(data, target)
        for _ in range(2_000):
            sock.sendto(b"noise of a flood", target)
        while not (counts := await five.counts("m0")).get("peers_datagrams_over_rate_total"):
            await asyncio.sleep(0.05)
        with pytest.raises(BlockingIOError):
            sock.recv(64)
    assert counts["peers_datagrams_unreadable_fleet_total"] == 2
    assert counts["peers_datagrams_unreadable_version_total"] == 1
    assert counts["peers_datagrams_unreadable_garbage_total"] >= 2
    assert "stranger" not in states(await five.view("m0"), "alive", "suspect", "failed")
    assert await five.agreed(*five.names) == digest


async def test_a_replayed_datagram_of_an_old_life_changes_nothing(five: Members) -> None:
    """An update that a member failed, about the life before the current one."""
    view = {item["name"]: item for item in (await five.view("m0"))["members"]}
    old = Update("m1", view["m1"]["address"], "", view["m1"]["generation"] - 1, 99, State.FAILED, "m2")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(wire.encode(FLEET, Gossip((old,))), (five.addresses["m0"], PORT))
    taken = (await five.counts("m0"))["peers_datagrams_taken_total"]
    while (await five.counts("m0"))["peers_datagrams_taken_total"] < taken + 10:
        await asyncio.sleep(0.05)
    assert ("m1", "failed") not in await five.states_seen("m0")


async def test_operators_read_the_view(five: Members) -> None:
    command = [sys.executable, "-m", "membership", "view", str(five.config("m1"))]
    process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=subprocess.PIPE)
    out = (await process.communicate())[0].decode().splitlines()
    assert process.returncode == 0
    assert "m1, life " in out[0]
    assert ": 5 living, digest " in out[0]
    assert [line.split()[:2] for line in out[1:]] == [[name, "alive"] for name in five.names]


@pytest.mark.parametrize(
    ("line", "word"),
    [
        ("speed = 1", "speed"),
        ('name = ""', "name"),
        ('listen = "nowhere"', "listen"),
        ('seeds = ["127.0.0.1:x"]', "seeds"),
        ("seeds = 7", "seeds"),
        ("[times]\nack_ms = 900", "times.ack_ms"),
        ("[times]\nperiod_ms = -1", "times.ack_ms"),
        ("[times]\ngossip_ms = 0", "times.gossip_ms"),
        ("[times]\nspeed = 1", "speed"),
    ],
)
def test_a_bad_configuration_is_one_line_with_the_key(tmp_path: Path, line: str, word: str) -> None:
    given = {"name": '"m"', "fleet": '"f"', "listen": '"127.0.0.1:7000"', "folder": '"x"'}
    key = line.partition(" = ")[0]
    text = "\n".join(f"{name} = {value}" for name, value in given.items() if name != key) + f"\n{line}\n"
    path = tmp_path / "bad.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "membership", str(path)]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert ended.returncode == 2
    assert str(path) in ended.stderr
    assert word in ended.stderr
    assert ended.stderr.count("\n") == 1
    with pytest.raises(ConfigError):
        config.load(path)


def test_a_generation_is_above_the_last_one_whatever_the_clock_says(tmp_path: Path) -> None:
    assert next_generation(tmp_path, 1_000) == 1_000
    assert next_generation(tmp_path, 900) == 1_001, "the clock was set back"
    (tmp_path / "generation").unlink()
    assert next_generation(tmp_path, 2_000) == 2_000, "the file was lost"
    (tmp_path / "generation").write_text("seven")
    with pytest.raises(GenerationError, match="generation"):
        next_generation(tmp_path, 3_000)


def test_a_datagram_keeps_its_size_limit_and_decodes_to_the_message() -> None:
    """Updates that do not fit are dropped from the end."""
    updates = tuple(
        Update(f"member-{n:04}", f"127.1.2.3:{7000 + n}", "zone", 1 << 45, n, State.ALIVE) for n in range(40)
    )
    data = wire.encode(FLEET, Ping(7, "m0", "127.0.0.1:7000", updates))
    assert len(data) <= wire.MAX_DATAGRAM_BYTES
    got = wire.decode(FLEET, data)
    assert isinstance(got, Ping)
    assert 10 < len(got.updates) < 40
    assert got.updates == updates[: len(got.updates)]


@pytest.mark.parametrize("at", range(0, 60, 3))
def test_corrupt_or_truncated_bytes_raise_nothing_but_a_wire_error(at: int) -> None:
    data = wire.encode(FLEET, Gossip((Update("m", "127.0.0.1:1", "z", 5, 6, State.SUSPECT, "n"),)))
    for corrupt in (data[:at], data[:at] + b"\xff" + data[at + 1 :], data[:at] + b"\x00" * 9 + data[at:]):
        try:
            got = wire.decode(FLEET, corrupt)
        except wire.WireError:
            continue
        assert msgspec.to_builtins(got) is not None


def test_a_sender_beyond_its_rate_is_limited_and_others_are_not() -> None:
    limiter = SenderRateLimiter(per_s=10, burst=5, max_senders=3)
    assert sum(limiter.allow(("a", 1), 0.0) for _ in range(20)) == 5
    assert limiter.allow(("b", 1), 0.0)
    assert sum(limiter.allow(("a", 1), 1.0) for _ in range(20)) == 5, "a bucket refills to the burst at most"
    for port in range(10):
        limiter.allow(("c", port), 1.0)
    assert limiter.allow(("a", 1), 1.0), "the table is bounded, the least recent sender is forgotten"
