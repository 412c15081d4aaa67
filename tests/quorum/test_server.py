"""A member's network service: bad input, operators, membership changes, lost and old folders, full disks."""

from __future__ import annotations

import asyncio
import os
import shutil
import subprocess
import sys
from pathlib import Path
from random import Random

import msgspec
import pytest
from prometheus_client.parser import text_string_to_metric_families

from quorum import wire
from quorum.client import Client, LeaseKeeper, QuorumError, ask_member, order_leader
from quorum.member import NoRoom
from quorum.messages import TimeoutNow
from quorum.monotonic_clock import now_us
from quorum.server import PeerLink
from quorum.state_machine import MAX_VALUE_BYTES, RESTORED_TOKEN_GAP, Done, Refused
from quorum.store import Store, StoreError
from quorum.wire import (
    FRAME_TIMEOUT_S,
    LENGTH_PREFIX,
    MAX_CLIENT_FRAME_BYTES,
    PROTOCOL_VERSION,
    Hello,
    encode_frame,
)
from standins.scripted import ROOT
from tests.quorum.servers import FullDisks, Quorum, quorum, until

WITHIN_S = 10.0
# Answers to an order that was not carried out, and may be sent again.
NOT_YET = ("no member leads", "another change is under way, or the leader is new: ask again")


async def replies_to(cluster: Quorum, name: str, data: bytes, end: bool = False) -> bytes:
    """Send raw bytes to a member and return everything that it answers until it closes the connection."""
    reader, writer = await asyncio.open_connection(*cluster.members[name])
    try:
        writer.write(data)
        if end:
            writer.write_eof()
        async with asyncio.timeout(FRAME_TIMEOUT_S + 3):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


GREETING = encode_frame(Hello(PROTOCOL_VERSION))


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        encode_frame(Hello(99)),
        LENGTH_PREFIX.pack(0),
        GREETING + LENGTH_PREFIX.pack(MAX_CLIENT_FRAME_BYTES + 1),
        GREETING + LENGTH_PREFIX.pack(5) + b"\xff\xff\xff\xff\xff",
        GREETING + LENGTH_PREFIX.pack(30) + b"half",
        GREETING + b"\x00\x00",
        GREETING
        + LENGTH_PREFIX.pack(16)
        + msgspec.msgpack.encode({"type": "explode"})[:16].ljust(16, b"\x00"),
        encode_frame(Hello(PROTOCOL_VERSION, "stranger")),
        encode_frame(Hello(PROTOCOL_VERSION, "q0")),
    ],
    ids=["http", "version", "empty", "huge", "garbage", "half", "cut", "unknown", "stranger", "no life"],
)
async def test_what_cannot_be_read_ends_its_connection_and_changes_nothing(
    tmp_path: Path, data: bytes
) -> None:
    """The connection is closed within a bounded time, and the members go on with an unchanged term."""
    async with quorum(tmp_path) as cluster:
        leader = await cluster.leader()
        before = await cluster.health(leader)
        answer = await replies_to(cluster, "q1", data)
        assert b"Told" not in answer
        after = await cluster.health(leader)
        assert (after.term, after.commit, after.leader) == (before.term, before.commit, leader)


async def test_an_unknown_or_oversized_request_is_told(tmp_path: Path) -> None:
    """A record that is too large is refused with its own text, and the session goes on."""
    async with quorum(tmp_path) as cluster:
        client = cluster.client()
        await client.open(WITHIN_S)
        answer = await client.put("a", 0, bytes(MAX_VALUE_BYTES + 1), within_s=WITHIN_S)
        assert answer == Refused(f"a record is over {MAX_VALUE_BYTES} bytes")
        assert isinstance(await client.put("a", 0, b"x", within_s=WITHIN_S), Done)
        client.close()


async def test_operators_read_pages(tmp_path: Path) -> None:
    """Health, readiness, leases with holder, token and time left, and metrics that can be parsed."""

    async def page(port: int, path: str, method: str = "GET") -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    async with quorum(tmp_path) as cluster:
        leader = await cluster.leader()
        client, port = cluster.client(), cluster.operators[leader]
        await client.open(WITHIN_S)
        await client.acquire("sweep", 60_000, within_s=WITHIN_S)
        assert (await page(port, "/health"))[0] == 200
        assert b"leader" in (await page(port, "/ready"))[1]
        listed = msgspec.json.decode((await page(port, "/leases"))[1], type=wire.Listed)
        assert [(lease.name, lease.owner, lease.token) for lease in listed.leases] == [("sweep", "test", 1)]
        assert 0 < listed.leases[0].left_ms <= 60_000
        metrics = {
            sample.name: sample.value
            for family in text_string_to_metric_families((await page(port, "/metrics"))[1].decode())
            for sample in family.samples
        }
        assert metrics["quorum_leads"] == 1
        assert metrics["quorum_leases"] == 1
        assert metrics["quorum_sync_seconds_count"] > 0
        assert (await page(port, "/nowhere"))[0] == 404
        assert (await page(port, "/health", "POST"))[0] == 405
        assert (await page(port, "/he\x01lth"))[0] == 400
        await cluster.stop(*[name for name in cluster.voters if name != leader])

        async def not_ready() -> bool:
            return (await page(port, "/ready"))[0] == 503

        await until(not_ready)
        client.close()


async def test_another_member_leads_when_asked(tmp_path: Path) -> None:
    """A held lease stays held under its token when leadership is transferred."""
    async with quorum(tmp_path) as cluster:
        leader, client = await cluster.leader(), cluster.client()
        await client.open(WITHIN_S)
        keeper = LeaseKeeper(client, "sweep", 5_000)
        assert await keeper.acquire(0, WITHIN_S)
        await order_leader(cluster.members, wire.StepDown(1))
        await until(lambda: has_new_leader(cluster, leader))
        answer = await client.renew("sweep", keeper.held_lease.token, WITHIN_S)
        assert isinstance(answer.response, Done)
        assert keeper.held_lease.renewed(answer.lease_start_us, now_us(), answer.response.token)
        client.close()


async def has_new_leader(cluster: Quorum, leader: str) -> bool:
    """Whether another member leads."""
    return await cluster.leader() != leader


async def order(cluster: Quorum, message: wire.ClientMessage) -> None:
    """Send an operator's order, as soon as there is a leader that can take it.

    A machine that stands still for longer than an election's time-out lets the leader change.
    """
    async with asyncio.timeout(WITHIN_S):
        while True:
            try:
                return await order_leader(cluster.members, message)
            except QuorumError as error:
                if str(error) not in NOT_YET:
                    raise
            await asyncio.sleep(0.02)


async def test_a_member_is_added_and_one_is_taken_out(tmp_path: Path) -> None:
    """The added member has the state; the others go on without the removed one."""
    async with quorum(tmp_path, spare=1) as cluster:
        leader, client = await cluster.leader(), cluster.client()
        await client.open(WITHIN_S)
        assert isinstance(await client.put("a", 0, b"kept", within_s=WITHIN_S), Done)
        with pytest.raises(QuorumError, match="has no address"):
            await order(cluster, wire.Change(1, add="q9"))
        with pytest.raises(QuorumError, match="the members are"):
            await order(cluster, wire.Change(1, remove="q3"))
        await cluster.start("q3")
        await order(cluster, wire.Change(1, add="q3"))
        removed = next(name for name in cluster.voters if name != leader)
        await order(cluster, wire.Change(1, remove=removed))
        await cluster.stop(removed)
        health = await cluster.health(await cluster.leader())
        assert set(health.members) == {"q0", "q1", "q2", "q3"} - {removed}
        assert (await client.read(WITHIN_S, key="a")).value == b"kept"
        await until(lambda: cluster.running["q3"].health(0).applied >= health.commit)
        client.close()


async def test_a_lost_folder_is_not_heard_until_it_is_taken_out_and_added(tmp_path: Path) -> None:
    """A member that lost its folder has forgotten its votes; removing and adding it makes it a new member."""
    async with quorum(tmp_path) as cluster:
        leader = await cluster.leader()
        lost = next(name for name in cluster.voters if name != leader)
        await cluster.stop(lost)
        shutil.rmtree(tmp_path / lost)
        await cluster.start(lost)
        await until(lambda: cluster.running[lost].health(0).turned)
        assert "another folder" in next(iter(cluster.running[lost].health(0).turned.values()))
        client = cluster.client()
        await client.open(WITHIN_S)
        assert (await cluster.health(leader)).lag[lost] > 0
        client.close()
        await order_leader(cluster.members, wire.Change(1, remove=lost))
        await order_leader(cluster.members, wire.Change(1, add=lost))
        await until(lambda: cluster.running[leader].health(0).lag.get(lost) == 0)


async def test_an_old_copy_of_a_folder_is_not_heard(tmp_path: Path) -> None:
    """The leader knows what the member had acknowledged; the other learns from the leader to reject it."""
    async with quorum(tmp_path) as cluster:
        leader, client = await cluster.leader(), cluster.client()
        await client.open(WITHIN_S)
        stale = next(name for name in cluster.voters if name != leader)
        shutil.copytree(tmp_path / stale, tmp_path / "copy")
        for version in range(5):
            await client.put("a", await record_version(client), b"%d" % version, within_s=WITHIN_S)
        await until(lambda: cluster.running[leader].health(0).lag[stale] == 0)
        await cluster.stop(stale)
        shutil.rmtree(tmp_path / stale)
        os.rename(tmp_path / "copy", tmp_path / stale)
        await cluster.start(stale)
        await until(lambda: len(cluster.running[stale].health(0).turned) == 2)
        assert all("copy of its folder" in why for why in cluster.running[stale].health(0).turned.values())
        assert isinstance(await client.put("b", 0, b"x", within_s=WITHIN_S), Done)
        client.close()


async def record_version(client: Client) -> int:
    """Return the version of the record ``a``."""
    return (await client.read(WITHIN_S, key="a")).version


async def test_one_folder_has_one_process(tmp_path: Path) -> None:
    """A second process cannot open a folder; a folder with a log but without ``lives`` is an error."""
    async with quorum(tmp_path, 1) as cluster:
        await cluster.leader()
        with pytest.raises(StoreError, match="another process"):
            Store(tmp_path / "q0")
    (tmp_path / "q0" / "lives").unlink()
    with pytest.raises(StoreError, match="lives"):
        Store(tmp_path / "q0")


async def test_with_all_disks_full_renewals_releases_and_reads_go_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They use the reserve; what would enlarge the state is refused until the disks have room again."""
    disks = FullDisks(monkeypatch)
    async with quorum(tmp_path) as cluster:
        leader, client = await cluster.leader(), cluster.client()
        await client.open(WITHIN_S)
        granted = (await client.acquire("sweep", 60_000, within_s=WITHIN_S)).response
        assert isinstance(granted, Done)
        assert isinstance(await client.put("a", 0, b"kept", within_s=WITHIN_S), Done)
        disks.full = {tmp_path / name: 64 * 1024 for name in cluster.voters}
        renewed = await client.renew("sweep", granted.token, WITHIN_S)
        assert isinstance(renewed.response, Done)
        await until(lambda: all_full(cluster))
        with pytest.raises(QuorumError, match="full"):
            await client.put("b", 0, b"more", within_s=WITHIN_S)
        refused = await client.acquire("other", 1_000, within_s=WITHIN_S)
        assert isinstance(refused.response, NoRoom)
        assert (await client.read(WITHIN_S, key="a")).value == b"kept"
        assert isinstance((await client.release("sweep", granted.token, WITHIN_S)).response, Done)
        disks.full = {}
        await until(lambda: all_have_room(cluster))
        assert isinstance(await client.put("b", 0, b"more", within_s=WITHIN_S), Done)
        assert leader in cluster.running
        client.close()


async def all_full(cluster: Quorum) -> bool:
    """Whether the leader knows that all disks are full."""
    return set((await cluster.health(await cluster.leader())).full) == set(cluster.voters)


async def all_have_room(cluster: Quorum) -> bool:
    """Whether no disk is full; only a write reveals that there is room again."""
    try:
        await order_leader(cluster.members, wire.StepDown(1))
    except QuorumError:  # no member leads at the moment, as the previous call made the leader step down
        return False
    return not any(server.health(0).disk or server.health(0).full for server in cluster.running.values())


async def test_a_disk_that_takes_nothing_costs_its_member_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If it is the leader's, another member leads and accepts everything; the first catches up later."""
    disks = FullDisks(monkeypatch)
    async with quorum(tmp_path) as cluster:
        leader, client = await cluster.leader(), cluster.client()
        await client.open(WITHIN_S)
        disks.full = {tmp_path / leader: 0}
        for number in range(20):
            assert isinstance(await client.put(f"k{number}", 0, b"x" * 500, within_s=WITHIN_S), Done)
        await until(lambda: has_new_leader(cluster, leader))
        assert cluster.running[leader].health(0).disk == "No space left on device"
        disks.full = {}
        await until(lambda: not cluster.running[leader].health(0).disk)
        await until(
            lambda: len(cluster.running[leader].health(0).members) == 3 and all_applied_equally(cluster)
        )
        client.close()


def all_applied_equally(cluster: Quorum) -> bool:
    """Whether all members have applied the same index."""
    return len({server.health(0).applied for server in cluster.running.values()}) == 1


async def test_a_copy_is_restored_into_a_new_quorum(tmp_path: Path) -> None:
    """Records are restored, tokens continue far above, and a held lease is unavailable for its full time."""
    async with quorum(tmp_path / "old") as cluster:
        await cluster.leader()
        client = cluster.client()
        await client.open(WITHIN_S)
        await client.put("a", 0, b"kept", within_s=WITHIN_S)
        held = (await client.acquire("sweep", 4_000, within_s=WITHIN_S)).response
        assert isinstance(held, Done)
        client.close()
        config = cluster.written("q0", tmp_path / "old.toml")
        code, text = await command("snapshot", str(config), str(tmp_path / "copy"))
        assert (code, "the state after entry" in text) == (0, True)
    restored = Quorum(tmp_path / "new", 3)
    for name in restored.voters:
        path = restored.written(name, tmp_path / f"{name}.toml")
        assert (await command("restore", str(path), str(tmp_path / "copy")))[0] == 0
        code, text = await command("restore", str(path), str(tmp_path / "copy"))
        assert (code, "is not empty" in text, text.count("\n")) == (2, True, 1)
    started_us = now_us()
    await restored.start(*restored.voters)
    client = restored.client()
    await client.open(WITHIN_S)
    assert (await client.read(WITHIN_S, key="a")).value == b"kept"
    answer = (await client.acquire("sweep", 1_000, wait_ms=8_000, within_s=WITHIN_S)).response
    assert isinstance(answer, Done)
    assert answer.token > RESTORED_TOKEN_GAP
    assert now_us() - started_us >= 4_000_000  # the new leader restarts the whole lease
    client.close()
    await restored.stop(*restored.voters)


async def command(*arguments: str) -> tuple[int, str]:
    """Run a command of the service and return its exit code and output."""

    def run() -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "quorum", *arguments],
            cwd=ROOT, capture_output=True, text=True, timeout=30, check=False,
        )  # fmt: skip
        return done.returncode, done.stdout + done.stderr

    return await asyncio.to_thread(run)


async def test_commands_tell_what_they_did_in_a_line(tmp_path: Path) -> None:
    """Results, failures (exit code 1) and wrong usage (2) are one line; ``status`` has one per member."""
    async with quorum(tmp_path) as cluster:
        leader, client = await cluster.leader(), cluster.client()
        await client.open(WITHIN_S)
        await client.acquire("sweep", 60_000, within_s=WITHIN_S)
        config = cluster.written("q0", tmp_path / "q0.toml")
        code, text = await command("status", str(config))
        assert (code, text.count("\n")) == (0, 3)
        assert f"{leader}: leader" in text
        code, text = await command("leases", str(config))
        assert (code, "sweep: test, token 1" in text) == (0, True)
        code, text = await command("remove", str(config), "q7")
        assert (code, text.count("\n")) == (1, 1)
        assert (await command("step-down", str(config)))[0] == 0
        client.close()
    code, text = await command("status", str(config))
    assert (code, text.count("\n")) == (1, 3)
    for arguments in (["status"], ["status", "nowhere.toml"], ["explode", "x", "y"], [str(tmp_path)]):
        code, text = await command(*arguments)
        assert (code, text.count("\n")) == (2, 1), text


async def test_a_watch_is_answered_by_a_change(tmp_path: Path) -> None:
    """A watch of a lease or record is answered by a change, or without one after its time."""
    async with quorum(tmp_path) as cluster:
        await cluster.leader()
        client, other = cluster.client(), cluster.client()
        await client.open(WITHIN_S)
        await other.open(WITHIN_S)
        watching = asyncio.ensure_future(other.watch(lease="sweep", wait_ms=8_000, within_s=WITHIN_S))
        await until(lambda: one_request_waits(cluster))
        await client.put("a", 0, b"x", within_s=WITHIN_S)
        assert not watching.done()
        held = (await client.acquire("sweep", 500, within_s=WITHIN_S)).response
        assert isinstance(held, Done)
        seen = await watching
        assert (seen.owner, seen.token) == ("test", held.token)
        expired = await other.watch(lease="sweep", seen=seen, wait_ms=8_000, within_s=WITHIN_S)
        assert expired.owner == ""
        seen = await other.watch(key="a", wait_ms=8_000, within_s=WITHIN_S)
        assert seen.value == b"x"
        started_us = now_us()
        assert await other.watch(key="a", seen=seen, wait_ms=300, within_s=WITHIN_S) == seen
        assert now_us() - started_us >= 300_000
        client.close()
        other.close()


async def one_request_waits(cluster: Quorum) -> bool:
    """Whether exactly one request waits at the leader."""
    return (await cluster.health(await cluster.leader())).waiting == 1


async def test_the_end_of_a_session_frees_its_leases(tmp_path: Path) -> None:
    """A client that disconnects while waiting does not get the lease."""
    async with quorum(tmp_path) as cluster:
        await cluster.leader()
        holder, leaving, next_client = cluster.client(), cluster.client(), cluster.client()
        for client in (holder, leaving, next_client):
            await client.open(WITHIN_S)
        await holder.acquire("sweep", 60_000, within_s=WITHIN_S)
        waiting = asyncio.ensure_future(leaving.acquire("sweep", 60_000, wait_ms=9_000, within_s=WITHIN_S))
        await until(lambda: one_request_waits(cluster))
        waiting.cancel()
        await until(lambda: no_request_waits(cluster))
        await holder.end_session(WITHIN_S)
        answer = await next_client.acquire("sweep", 1_000, within_s=WITHIN_S)
        assert isinstance(answer.response, Done)
        next_client.close()


async def no_request_waits(cluster: Quorum) -> bool:
    """Whether no request waits at the leader."""
    return (await cluster.health(await cluster.leader())).waiting == 0


async def test_a_member_that_does_not_answer_is_told_in_a_line(tmp_path: Path) -> None:
    """Asking an address where nothing listens fails with one line."""
    cluster = Quorum(tmp_path, 1)
    with pytest.raises(QuorumError, match="does not answer"):
        await ask_member(cluster.members["q0"], wire.Status(1))


class BrokenWriter:
    """A stream writer whose connection is lost with the first message behind the greeting."""

    def __init__(self) -> None:
        self.transport = self

    def abort(self) -> None:
        """Do nothing: there is no connection."""

    def write(self, data: bytes) -> None:
        """Accept everything."""

    async def drain(self) -> None:
        """Fail as on a connection that its peer has reset."""
        raise ConnectionResetError("Connection lost")


async def test_a_link_that_is_stopped_while_its_connection_ends_does_not_go_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A member that stops cancels its links; one that is just closing a lost connection must end too.

    ``Server.stop`` waits for all of them, so that a member whose link goes on never ends.
    """
    reader = asyncio.StreamReader()
    closing = asyncio.Event()
    read_frame = wire.read_frame

    async def read_until_cancelled(*_: object) -> bytes:
        try:
            return await read_frame(reader, MAX_CLIENT_FRAME_BYTES)
        finally:
            closing.set()  # the link waits for this task, which it has cancelled
            await asyncio.sleep(0)

    async def connected(*_: object) -> tuple[asyncio.StreamReader, BrokenWriter]:
        return reader, BrokenWriter()

    monkeypatch.setattr(wire, "read_frame", read_until_cancelled)
    monkeypatch.setattr(asyncio, "open_connection", connected)
    link = PeerLink("q1", ("127.0.0.1", 1), Hello(PROTOCOL_VERSION), Random(1))
    task = asyncio.ensure_future(link.run())
    await asyncio.sleep(0.01)
    link.send(TimeoutNow(1))
    async with asyncio.timeout(WITHIN_S):
        await closing.wait()
    task.cancel()
    await asyncio.wait({task}, timeout=1.0)
    try:
        assert task.done()
    finally:
        task.cancel()
