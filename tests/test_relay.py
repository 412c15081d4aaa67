"""The real process on loopback sockets, as clients, endpoints and the platform see it."""

from __future__ import annotations

import asyncio
import re
import signal

import pytest

from relay import clients, discovery
from standins.scripted import (
    Request,
    World,
    deliver_all,
    encode_command,
    enqueue_words,
    no_answer,
    with_timeout,
)


async def test_a_message_is_delivered_unchanged(world: World) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    body = bytes(range(256)) * 4
    assert await client.command(*enqueue_words("m1", "keyed", body=body)) == b"+OK"
    call = await host.wait_request(0)
    assert (call.method, call.target, call.body) == ("POST", "/hook", body)
    assert call.headers["x-txn"] == "m1"
    assert call.headers["idempotency-key"] == "key-m1"
    assert 0 < int(re.fullmatch(r"(\d+)m", call.headers["x-remaining"])[1]) <= 30_000  # type: ignore[index]


async def test_connections_are_reused(world: World) -> None:
    """A new connection for each message would cost the host work and delay the message."""
    host = await world.add_host("h1")
    client = await world.start_relay()
    for number in range(5):
        assert await client.submit(f"m{number}") == b"+OK"
        await host.wait_request(number)
    assert host.connection_count == 1


async def test_a_repeated_request_is_one_message(world: World) -> None:
    """A client repeats a request on a new connection where the old one was closed meanwhile."""
    host = await world.add_host("h1")
    client = await world.start_relay()
    assert await client.submit("m1") == b"+OK"
    await host.wait_request(0)
    assert await (await world.connect_client()).submit("m1") == b"+OK"
    assert await client.submit("m2") == b"+OK"
    assert [(await host.wait_request(at)).refs for at in (0, 1)] == [["m1"], ["m2"]]


@pytest.mark.parametrize(
    "request_bytes",
    [
        encode_command(b"HELLO"),
        encode_command(b"ENQUEUE", b"0", b"m1"),
        encode_command(b"ENQUEUE", b"0", b"m 1", b"c=safe,d=100,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=nothing,d=100,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=-5,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=100", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=100,dest=x\r\ny", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=100,dest=70000", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"nonsense", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=100,dest=1", bytes(65537)),
        encode_command(),
        b"+word\r\n",
        b"*1\r\n:5\r\n",
        b"*2\r\n*1\r\n$1\r\na\r\n$1\r\nb\r\n",
    ],
)
async def test_an_invalid_request_is_answered_and_the_connection_stays_open(
    world: World, request_bytes: bytes
) -> None:
    client = await world.start_relay()
    assert (await client.send_raw(request_bytes)).startswith(b"-ERR")
    assert await client.command(b"PING") == b"+PONG"


@pytest.mark.parametrize(
    "frame",
    [
        b"nonsense\r\n",
        b"*1000000000\r\n",
        b"*1\r\n$x\r\n",
        b"$" + b"9" * 70_000,
        encode_command(*enqueue_words("m1", body=b"abcd"))[:-2] + b"efgh\r\n",  # longer than announced
    ],
)
async def test_a_broken_frame_ends_only_its_connection(world: World, frame: bytes) -> None:
    other = await world.start_relay()
    client = await world.connect_client()
    client.writer.write(frame)
    assert (await with_timeout(client.reader.readline())).startswith(b"-ERR")
    assert await with_timeout(client.reader.read()) == b""
    assert await other.command(b"PING") == b"+PONG"


@pytest.mark.parametrize(
    ("data", "line"), [(b"", b""), (b"*5\r\n$7\r\nENQ", b"-ERR no whole request in time\r\n")]
)
async def test_a_connection_without_a_whole_request_is_closed(world: World, data: bytes, line: bytes) -> None:
    """Within three seconds of connecting it gets an error line, if a request has begun, and is closed."""
    served = await world.start_relay()
    client = await world.connect_client()
    client.writer.write(data)
    assert await with_timeout(client.reader.read()) == line
    assert await served.command(b"PING") == b"+PONG"
    assert 2 < clients.REQUEST_TIMEOUT_S < 3


async def test_an_unfinished_request_ends_a_served_connection(world: World) -> None:
    client = await world.start_relay()
    assert await client.send_raw(encode_command(b"PING") + b"*1\r\n$4\r\nPI") == b"+PONG"
    assert await with_timeout(client.reader.read()) == b"-ERR no whole request in time\r\n"


async def test_a_request_may_come_in_pieces(world: World) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    data = encode_command(*enqueue_words("m1")) + encode_command(b"PING")
    for at in range(0, len(data), 7):
        client.writer.write(data[at : at + 7])
        await client.writer.drain()
    assert await with_timeout(client.reader.readline()) == b"+OK\r\n"
    assert await with_timeout(client.reader.readline()) == b"+PONG\r\n"
    await host.wait_request(0)


async def test_above_the_limit_of_held_messages_a_message_is_refused_with_a_retry_time(world: World) -> None:
    world.settings["allowed"]["open_cap"] = 1
    host = await world.add_host("h1", no_answer)
    client = await world.start_relay()
    assert await client.submit("m1") == b"+OK"
    await host.wait_request(0)
    assert await client.submit("m2") == b"-BUSY 2000"


async def test_a_full_disk_budget_refuses_messages_until_there_is_room(world: World) -> None:
    """More than ``disk_mb`` in the folder would be a crash, so messages are refused before that."""
    world.disk_mb = 0.1
    host = await world.add_host("h1", no_answer)
    client = await world.start_relay()
    answers = [await client.command(*enqueue_words(f"m{n}", body=bytes(9000))) for n in range(12)]
    assert answers[0] == b"+OK"
    assert answers[-1] == b"-BUSY 2000"
    assert sum(path.stat().st_size for path in world.state_folder.iterdir()) < 100_000
    (await host.wait_request(0)).answer()
    host.default_reply = deliver_all
    while await client.command(*enqueue_words("late", body=bytes(9000))) != b"+OK":
        await asyncio.sleep(0.02)
    await host.wait_until(lambda: any("late" in request.refs for request in host.requests))


async def test_sends_of_one_step_share_a_call_and_have_separate_outcomes(world: World) -> None:
    def mixed(request: Request) -> None:
        outcomes = {"m1": "delivered", "m2": "refused", "m3": "over", "m4": "failed", "m5": "spent"}
        request.answer(200, "".join(f"{ref} {outcomes[ref]}\r\n" for ref in request.refs))

    host = await world.add_host("h1", kind="banks")
    client = await world.start_relay()
    host.script.append(mixed)
    refs = [f"m{number}" for number in range(1, 6)]
    classes = {"m4": "unsafe"}
    client.writer.write(
        b"".join(encode_command(*enqueue_words(ref, classes.get(ref, "safe"))) for ref in refs)
    )
    assert [await with_timeout(client.reader.readline()) for _ in refs] == [b"+OK\r\n"] * 5
    call = await host.wait_request(0)
    assert call.target == "/hook/batch"
    assert sorted(call.refs) == refs
    assert b"m2 key-m2 5\r\nhello\r\n" in call.body
    assert (await world.discovery.wait_notice("m4"))["result"] == "dead"  # it may have run
    await host.wait_until(lambda: {"m2", "m5"} <= {ref for r in host.requests[1:] for ref in r.refs})
    assert {ref for r in host.requests[1:] for ref in r.refs} == {"m2", "m5"}


async def test_a_batch_answer_that_is_cut_may_have_run(world: World) -> None:
    """A batch counts as delivered only once its whole answer has been read."""

    def cut(request: Request) -> None:
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nm1 delivered\r\n")
        request.writer.close()

    host = await world.add_host("h1", kind="banks")
    client = await world.start_relay()
    host.script.append(cut)
    client.writer.write(
        encode_command(*enqueue_words("m1", "unsafe")) + encode_command(*enqueue_words("m2", "safe"))
    )
    assert (await world.discovery.wait_notice("m1"))["result"] == "dead"
    assert (await host.wait_request(1)).refs == ["m2"]


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n\x9f\x03q\r\n",
        b"HTTP/1.1 429 X\r\nX-Retry-In-Ms: 5\r\nContent-Length: 180\r\n\r\n{",
        b"HTTP/1.1 504 X\r\nContent-Length: 5\r\n\r\n",
    ],
    ids=["chunks", "cut", "no body"],
)
async def test_an_unsafe_message_is_not_sent_again_behind_an_answer_that_cannot_be_read(
    world: World, answer: bytes
) -> None:
    """Guards against a second run: a first line that denies the run proves nothing without the rest."""

    def spoil(request: Request) -> None:
        request.writer.write(answer)
        request.writer.close()

    host = await world.add_host("h1")
    client = await world.start_relay()
    host.script.append(spoil)
    assert await client.submit("m1", "unsafe") == b"+OK"
    assert (await world.discovery.wait_notice("m1"))["result"] == "dead"
    assert await client.submit("m2", "unsafe") == b"+OK"
    assert (await host.wait_request(1)).refs == ["m2"]


@pytest.mark.parametrize("accepted", [True, False], ids=["served before", "in the backlog"])
async def test_requests_of_a_client_that_has_left_are_not_sent_on(world: World, accepted: bool) -> None:
    """Guards against a second effect: the client got no reply in time, and has come again elsewhere."""
    host = await world.add_host("h1")
    first = await world.start_relay()
    assert world.process is not None
    leaving = await world.connect_client() if accepted else None
    world.process.send_signal(signal.SIGSTOP)
    leaving = leaving or await world.connect_client()
    leaving.writer.write(b"".join(encode_command(*enqueue_words(f"m{n}", "unsafe")) for n in range(40)))
    await leaving.writer.drain()
    leaving.writer.close()
    await leaving.writer.wait_closed()
    world.process.send_signal(signal.SIGCONT)
    assert await first.submit("last", "unsafe") == b"+OK"
    assert (await host.wait_request(0)).refs == ["last"]
    assert await first.submit("m0", "unsafe") == b"+OK"
    assert (await host.wait_request(1)).refs == ["m0"]


async def test_a_client_that_ends_its_side_and_still_reads_is_refused(world: World) -> None:
    """It is told that nothing was taken on, so it may hand the message in again."""
    host = await world.add_host("h1")
    client = await world.start_relay()
    assert world.process is not None
    world.process.send_signal(signal.SIGSTOP)
    client.writer.write(encode_command(*enqueue_words("m1", "unsafe")))
    client.writer.write_eof()
    world.process.send_signal(signal.SIGCONT)
    assert (await with_timeout(client.reader.readline())).startswith(b"-BUSY ")
    assert await (await world.connect_client()).submit("m1", "unsafe") == b"+OK"
    assert (await host.wait_request(0)).refs == ["m1"]


@pytest.mark.parametrize("status", [503, 504])
async def test_an_unsafe_message_that_never_ran_is_sent_again(world: World, status: int) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    host.script.append(lambda request: request.answer(status))
    assert await client.submit("m1", "unsafe") == b"+OK"
    assert (await host.wait_request(1)).refs == ["m1"]


async def test_a_message_that_its_endpoint_declares_over_is_not_sent_again(world: World) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    host.script.append(lambda request: request.answer(410))
    assert await client.submit("m1") == b"+OK"
    await world.wait_journaled(b'"over"')
    client = await world.kill_and_restart()
    assert await client.submit("m2") == b"+OK"
    await host.wait_until(lambda: host.requests[-1].refs == ["m2"])
    assert [request.refs for request in host.requests] == [["m1"], ["m2"]]
    assert world.discovery.notices == []


@pytest.mark.parametrize("reply", [lambda r: r.answer(500), Request.reset, lambda r: r.writer.close()])
async def test_an_unsafe_message_that_may_have_run_is_not_repeated(world: World, reply: object) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    host.script.append(reply)  # type: ignore[arg-type]
    assert await client.submit("m1", "unsafe") == b"+OK"
    assert await world.discovery.wait_notice("m1") == {"ref": "m1", "result": "dead"}
    assert len(host.requests) == 1


async def test_a_reset_on_a_reused_connection_may_have_run(world: World) -> None:
    """Whether the connection was idle before or not: after the last byte the host may have begun."""
    host = await world.add_host("h1")
    client = await world.start_relay()
    await client.submit("m1", "unsafe")
    await host.wait_request(0)
    host.script.append(Request.reset)
    await client.submit("m2", "unsafe")
    assert (await world.discovery.wait_notice("m2"))["result"] == "dead"
    assert [request.connection_number for request in host.requests] == [1, 1]


async def test_a_connection_closed_by_the_host_is_not_written_to(world: World) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    await client.submit("m1", "unsafe")
    (await host.wait_request(0)).writer.close()
    await host.wait_until(lambda: True)
    while host.writers:
        await asyncio.sleep(0.01)
    await client.submit("m2", "unsafe")
    assert (await host.wait_request(1)).connection_number == 2


async def test_a_refused_connection_never_ran(world: World) -> None:
    host = await world.add_host("h1", listens=False)
    client = await world.start_relay()
    assert await client.submit("m1", "unsafe") == b"+OK"
    # Time for a first attempt, which is refused; without one the test still holds but shows less.
    await asyncio.sleep(0.05)
    await host.start()
    assert (await host.wait_request(0)).refs == ["m1"]


async def test_an_unanswered_call_ends_at_the_messages_deadline(world: World) -> None:
    """A keyed message that may have run is failed; a safe one is handed back with a retry time."""
    await world.add_host("h1", no_answer)
    client = await world.start_relay()
    await client.submit("m1", "keyed", d=1500)
    await client.submit("m2", "safe", d=1500)
    assert await world.discovery.wait_notice("m1") == {"ref": "m1", "result": "dead"}
    assert await world.discovery.wait_notice("m2") == {"ref": "m2", "result": "bounced", "wait_ms": 2000}


async def test_a_wait_is_observed(world: World) -> None:
    """Any answer may ask for a wait, also one that confirms a delivery."""
    host = await world.add_host("h1")
    client = await world.start_relay()
    host.script.append(lambda request: request.answer(429, X_Retry_In_Ms="600"))
    host.script.append(lambda request: request.answer(200, X_Retry_In_Ms="600"))
    await client.submit("m1")
    first, second = await host.wait_request(0), await host.wait_request(1)
    assert second.received_s - first.received_s >= 0.6
    await client.submit("m2")
    assert (await host.wait_request(2)).received_s - second.received_s >= 0.6


async def test_no_new_call_goes_to_a_draining_host(world: World) -> None:
    draining, other = await world.add_host("h1"), await world.add_host("h2", site="b")
    client = await world.start_relay()
    await client.submit("m1")
    await draining.wait_request(0)
    world.discovery.change_entry("h1", health="DRAINING")
    while draining.writers:  # the relay closes its idle connection once it knows
        await asyncio.sleep(0.01)
    await client.submit("m2")
    assert (await other.wait_request(0)).refs == ["m2"]
    world.discovery.change_entry("h2", health="DELETED")
    while other.writers:
        await asyncio.sleep(0.01)
    await client.submit("m3", d=300)
    assert (await world.discovery.wait_notice("m3"))["result"] == "bounced"
    assert (len(draining.requests), len(other.requests)) == (1, 1)


@pytest.mark.parametrize("how", ["go_down", "send_garbage"])
async def test_a_watch_that_breaks_is_restarted(world: World, how: str) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    await client.submit("m1")
    await host.wait_request(0)
    getattr(world.discovery, how)()
    await client.submit("m2", dest=2, d=400)  # notices are posted also while the list is not available
    assert (await world.discovery.wait_notice("m2"))["result"] == "bounced"
    await client.submit("m3")
    await host.wait_request(1)  # the last list is still used
    world.discovery.is_down = False
    late = await world.add_host("h2", block=2)
    await client.submit("m4", dest=2)
    assert (await late.wait_request(0)).refs == ["m4"]
    asked = [request.target for request in world.discovery.requests if request.method == "GET"]
    assert asked[0].endswith("from=0")
    assert not asked[-1].endswith("from=0")


async def test_a_notice_is_repeated_until_it_is_confirmed(world: World) -> None:
    client = await world.start_relay()
    await world.discovery.wait_request(0)
    world.discovery.script += [Request.reset, lambda request: request.answer(503)]
    await client.submit("m1", d=100)
    await world.discovery.wait_until(lambda: len(world.discovery.requests) == 4)  # a watch and three posts
    assert (await world.discovery.wait_notice("m1"))["result"] == "bounced"
    posts = [request.body for request in world.discovery.requests if request.method == "POST"]
    assert len(posts) == 3
    assert len(set(posts)) == 1


async def test_invalid_entries_of_the_list_are_left_out(world: World) -> None:
    world.discovery.change_entry("bad1", dial="nowhere")
    world.discovery.change_entry("bad2", dial="127.0.0.1:1", health="ODD")
    world.discovery.change_entry("bad3", dial="127.0.0.1:1", block="x")
    world.discovery.change_entry("bad4", dial="127.0.0.1:1", block=float("inf"))  # no whole number
    host = await world.add_host("h1")
    client = await world.start_relay()
    await client.submit("m1")
    assert (await host.wait_request(0)).refs == ["m1"]


@pytest.mark.parametrize("answer", [b"nonsense\r\n\r\n", b"HTTP/1.1 500 X\r\nX: " + b"y" * 70_000])
async def test_a_message_with_an_unreadable_answer_may_have_run(world: World, answer: bytes) -> None:
    host = await world.add_host("h1")
    client = await world.start_relay()
    host.script.append(lambda request: request.writer.write(answer))
    await client.submit("m1", "unsafe")
    assert (await world.discovery.wait_notice("m1"))["result"] == "dead"
    await client.submit("m2")
    await host.wait_until(lambda: host.requests[-1].refs == ["m2"])


async def test_above_the_limit_the_connection_idle_longest_is_closed(world: World) -> None:
    """Descriptors are limited; refusing the new connection would lose the request on it."""
    world.sockets = 8  # of which half are for clients
    first = await world.start_relay()
    others = [await world.connect_client() for _ in range(3)]
    for client in (*others, first):
        assert await client.command(b"PING") == b"+PONG"
    newest = await world.connect_client()
    assert await newest.submit("m1") == b"+OK"
    assert await with_timeout(others[0].reader.read()) == b""
    for client in (*others[1:], first, newest):
        assert await client.command(b"PING") == b"+PONG"


async def test_a_post_of_a_notice_that_hangs_is_repeated_in_time(world: World) -> None:
    """A notice is overdue 300 ms after the deadline: one silent connection must not use up that time."""
    client = await world.start_relay()
    await world.discovery.wait_request(0)
    world.discovery.script.append(no_answer)
    await client.submit("m1", d=100)
    assert (await world.discovery.wait_notice("m1"))["result"] == "bounced"
    await client.submit("m2", d=100)
    await world.discovery.wait_notice("m2")
    assert [notice["ref"] for notice in world.discovery.notices] == ["m1", "m2"]


async def test_a_silent_watch_is_restarted(world: World) -> None:
    """A network failure closes no connection, but changes of the list apply all the same."""
    world.discovery.sends_heartbeats = False
    await world.start_relay()
    await world.discovery.wait_request(0)
    again = await world.discovery.wait_request(1)
    assert again.target == "/discovery/hosts?watch=1&from=1"


def test_timeouts_of_silent_connections_are_within_the_rules() -> None:
    """A notice is overdue after 300 ms, a change must be known after 6 s, a watch has a line every 2 s."""
    restart_s = 0.65 + 0.5  # the decision module's longest first gap, and a slow answer
    assert discovery.FIRST_POST_TIMEOUT_S + discovery.FIRST_RETRY_DELAY_S < 0.3
    assert 2 < discovery.SILENCE_TIMEOUT_S < 6 - restart_s


COPY = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "surplus", [COPY, b"\x00noise\r\n\r\n", b"x"], ids=["second copy", "noise", "a byte"]
)
@pytest.mark.parametrize("delay_s", [0.0, 0.02], ids=["in one write", "straight after"])
async def test_a_good_answer_with_more_behind_it_counts_and_the_rest_answers_no_other_call(
    world: World, surplus: bytes, delay_s: float
) -> None:
    """The next message is refused by its own answer, though a copy of the one before says delivered."""
    host = await world.add_host("h1")

    def answer_twice(request: Request) -> None:
        request.writer.write(COPY + (b"" if delay_s else surplus))
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, request.writer.write, surplus)

    host.script += [answer_twice, lambda request: request.answer(410)]
    client = await world.start_relay()
    await client.submit("m1")
    await host.wait_request(0)
    await asyncio.sleep(0.1)
    await client.submit("m2")
    second = await host.wait_request(1)
    assert second.connection_number == 2, "the connection with the rest was used again"
    await client.submit("m3", d=400)
    assert (await host.wait_request(2)).refs == ["m3"]
    assert not [notice for notice in world.discovery.notices if notice["ref"] == "m1"]
