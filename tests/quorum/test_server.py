"""The shell of a member: bad input, operators, membership by command, lost and old folders, full disks."""

from __future__ import annotations

import asyncio
import os
import shutil
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from prometheus_client.parser import text_string_to_metric_families

from quorum import wire
from quorum.client import Client, LeaseKeeper, QuorumError, ask_member, order_leader
from quorum.member import NoRoom
from quorum.monotonic_clock import now_us
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


async def said(some: Quorum, name: str, data: bytes, end: bool = False) -> bytes:
    """All that a member answers to raw bytes until it ends the connection."""
    reader, writer = await asyncio.open_connection(*some.members[name])
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
    """Within a bounded time; the members go on, nobody's term has moved."""
    async with quorum(tmp_path) as some:
        leader = await some.leader()
        before = await some.health(leader)
        answer = await said(some, "q1", data)
        assert b"Told" not in answer
        after = await some.health(leader)
        assert (after.term, after.commit, after.leader) == (before.term, before.commit, leader)


async def test_an_unknown_or_oversized_request_is_told(tmp_path: Path) -> None:
    """A record that is too large by its own line; the session goes on."""
    async with quorum(tmp_path) as some:
        client = some.client()
        await client.open(WITHIN_S)
        answer = await client.put("a", 0, bytes(MAX_VALUE_BYTES + 1), within_s=WITHIN_S)
        assert answer == Refused(f"a record is over {MAX_VALUE_BYTES} bytes")
        assert isinstance(await client.put("a", 0, b"x", within_s=WITHIN_S), Done)
        client.close()


async def test_operators_read_pages(tmp_path: Path) -> None:
    """Health, readiness, status, leases with holder, token and time left, and figures that can be parsed."""

    async def page(port: int, path: str, method: str = "GET") -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    async with quorum(tmp_path) as some:
        leader = await some.leader()
        client, port = some.client(), some.operators[leader]
        await client.open(WITHIN_S)
        await client.acquire("sweep", 60_000, within_s=WITHIN_S)
        assert (await page(port, "/health"))[0] == 200
        assert b"leader" in (await page(port, "/ready"))[1]
        listed = msgspec.json.decode((await page(port, "/leases"))[1], type=wire.Listed)
        assert [(item.name, item.owner, item.token) for item in listed.leases] == [("sweep", "test", 1)]
        assert 0 < listed.leases[0].left_ms <= 60_000
        figures = {
            sample.name: sample.value
            for family in text_string_to_metric_families((await page(port, "/metrics"))[1].decode())
            for sample in family.samples
        }
        assert figures["quorum_leads"] == 1
        assert figures["quorum_leases"] == 1
        assert figures["quorum_sync_seconds_count"] > 0
        assert (await page(port, "/nowhere"))[0] == 404
        assert (await page(port, "/health", "POST"))[0] == 405
        assert (await page(port, "/he\x01lth"))[0] == 400
        await some.stop(*[name for name in some.voters if name != leader])

        async def not_ready() -> bool:
            return (await page(port, "/ready"))[0] == 503

        await until(not_ready)
        client.close()


async def test_another_member_leads_when_asked(tmp_path: Path) -> None:
    """The lease that is held stays held, under its token."""
    async with quorum(tmp_path) as some:
        leader, client = await some.leader(), some.client()
        await client.open(WITHIN_S)
        keeper = LeaseKeeper(client, "sweep", 5_000)
        assert await keeper.acquire(0, WITHIN_S)
        await order_leader(some.members, wire.StepDown(1))
        await until(lambda: moved(some, leader))
        got = await client.renew("sweep", keeper.held_lease.token, WITHIN_S)
        assert isinstance(got.response, Done)
        assert keeper.held_lease.renewed(got.lease_start_us, now_us(), got.response.token)
        client.close()


async def moved(some: Quorum, leader: str) -> bool:
    """Whether another leads."""
    return await some.leader() != leader


async def test_a_member_is_added_and_one_is_taken_out(tmp_path: Path) -> None:
    """The new one has the state; the old one is no member, and the rest goes on without it."""
    async with quorum(tmp_path, spare=1) as some:
        leader, client = await some.leader(), some.client()
        await client.open(WITHIN_S)
        assert isinstance(await client.put("a", 0, b"kept", within_s=WITHIN_S), Done)
        with pytest.raises(QuorumError, match="has no address"):
            await order_leader(some.members, wire.Change(1, add="q9"))
        with pytest.raises(QuorumError, match="the members are"):
            await order_leader(some.members, wire.Change(1, remove="q3"))
        await some.start("q3")
        await order_leader(some.members, wire.Change(1, add="q3"))
        out = next(name for name in some.voters if name != leader)
        await order_leader(some.members, wire.Change(1, remove=out))
        await some.stop(out)
        health = await some.health(await some.leader())
        assert set(health.members) == {"q0", "q1", "q2", "q3"} - {out}
        assert (await client.read(WITHIN_S, key="a")).value == b"kept"
        await until(lambda: some.up["q3"].health(0).applied >= health.commit)
        client.close()


async def test_a_lost_folder_is_not_heard_until_it_is_taken_out_and_added(tmp_path: Path) -> None:
    """It would have forgotten its votes; the operator's two commands make it a new member."""
    async with quorum(tmp_path) as some:
        leader = await some.leader()
        lost = next(name for name in some.voters if name != leader)
        await some.stop(lost)
        shutil.rmtree(tmp_path / lost)
        await some.start(lost)
        await until(lambda: some.up[lost].health(0).turned)
        assert "another folder" in next(iter(some.up[lost].health(0).turned.values()))
        client = some.client()
        await client.open(WITHIN_S)
        assert (await some.health(leader)).lag[lost] > 0
        client.close()
        await order_leader(some.members, wire.Change(1, remove=lost))
        await order_leader(some.members, wire.Change(1, add=lost))
        await until(lambda: some.up[leader].health(0).lag.get(lost) == 0)


async def test_an_old_copy_of_a_folder_is_not_heard(tmp_path: Path) -> None:
    """Neither by the leader, which has what it acknowledged, nor by the other once the leader tells."""
    async with quorum(tmp_path) as some:
        leader, client = await some.leader(), some.client()
        await client.open(WITHIN_S)
        old = next(name for name in some.voters if name != leader)
        shutil.copytree(tmp_path / old, tmp_path / "copy")
        for version in range(5):
            await client.put("a", await version_of(client), b"%d" % version, within_s=WITHIN_S)
        await until(lambda: some.up[leader].health(0).lag[old] == 0)
        await some.stop(old)
        shutil.rmtree(tmp_path / old)
        os.rename(tmp_path / "copy", tmp_path / old)
        await some.start(old)
        await until(lambda: len(some.up[old].health(0).turned) == 2)
        assert all("copy of its folder" in why for why in some.up[old].health(0).turned.values())
        assert isinstance(await client.put("b", 0, b"x", within_s=WITHIN_S), Done)
        client.close()


async def version_of(client: Client) -> int:
    """The version of the record."""
    return (await client.read(WITHIN_S, key="a")).version


async def test_one_folder_has_one_process(tmp_path: Path) -> None:
    """And a log without the file of lives is no folder of a member."""
    async with quorum(tmp_path, 1) as some:
        await some.leader()
        with pytest.raises(StoreError, match="another process"):
            Store(tmp_path / "q0")
    (tmp_path / "q0" / "lives").unlink()
    with pytest.raises(StoreError, match="lives"):
        Store(tmp_path / "q0")


async def test_with_all_disks_full_renewals_releases_and_reads_go_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On the reserve; what would grow is turned down at once, members tell it, and it ends with the lack."""
    disks = FullDisks(monkeypatch)
    async with quorum(tmp_path) as some:
        leader, client = await some.leader(), some.client()
        await client.open(WITHIN_S)
        token = (await client.acquire("sweep", 60_000, within_s=WITHIN_S)).response
        assert isinstance(token, Done)
        assert isinstance(await client.put("a", 0, b"kept", within_s=WITHIN_S), Done)
        disks.full = {tmp_path / name: 64 * 1024 for name in some.voters}
        renewed = await client.renew("sweep", token.token, WITHIN_S)
        assert isinstance(renewed.response, Done)
        await until(lambda: full_everywhere(some))
        with pytest.raises(QuorumError, match="full"):
            await client.put("b", 0, b"more", within_s=WITHIN_S)
        refused = await client.acquire("other", 1_000, within_s=WITHIN_S)
        assert isinstance(refused.response, NoRoom)
        assert (await client.read(WITHIN_S, key="a")).value == b"kept"
        assert isinstance((await client.release("sweep", token.token, WITHIN_S)).response, Done)
        disks.full = {}
        await until(lambda: room_again(some))
        assert isinstance(await client.put("b", 0, b"more", within_s=WITHIN_S), Done)
        assert leader in some.up
        client.close()


async def full_everywhere(some: Quorum) -> bool:
    """Whether the leader knows that nobody has room."""
    return set((await some.health(await some.leader())).full) == set(some.voters)


async def room_again(some: Quorum) -> bool:
    """Whether nobody is short of room; a write is what shows it."""
    try:
        await order_leader(some.members, wire.StepDown(1))
    except QuorumError:  # the last time it was asked for, a leader stepped down: nobody leads just now
        return False
    return not any(server.health(0).disk or server.health(0).full for server in some.up.values())


async def test_a_disk_that_takes_nothing_costs_its_member_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also the leader's: another leads, everything is taken on, and it comes after once it can."""
    disks = FullDisks(monkeypatch)
    async with quorum(tmp_path) as some:
        leader, client = await some.leader(), some.client()
        await client.open(WITHIN_S)
        disks.full = {tmp_path / leader: 0}
        for number in range(20):
            assert isinstance(await client.put(f"k{number}", 0, b"x" * 500, within_s=WITHIN_S), Done)
        await until(lambda: moved(some, leader))
        assert some.up[leader].health(0).disk == "No space left on device"
        disks.full = {}
        await until(lambda: not some.up[leader].health(0).disk)
        await until(lambda: len(some.up[leader].health(0).members) == 3 and applied(some))
        client.close()


def applied(some: Quorum) -> bool:
    """Whether all have applied as much."""
    return len({server.health(0).applied for server in some.up.values()}) == 1


async def test_a_copy_is_restored_into_a_new_quorum(tmp_path: Path) -> None:
    """Records are there, tokens go on far above, and what was held waits its full time."""
    async with quorum(tmp_path / "old") as some:
        await some.leader()
        client = some.client()
        await client.open(WITHIN_S)
        await client.put("a", 0, b"kept", within_s=WITHIN_S)
        held = (await client.acquire("sweep", 4_000, within_s=WITHIN_S)).response
        assert isinstance(held, Done)
        client.close()
        config = some.written("q0", tmp_path / "old.toml")
        code, text = await command("snapshot", str(config), str(tmp_path / "copy"))
        assert (code, "the state after entry" in text) == (0, True)
    new = Quorum(tmp_path / "new", 3)
    for name in new.voters:
        path = new.written(name, tmp_path / f"{name}.toml")
        assert (await command("restore", str(path), str(tmp_path / "copy")))[0] == 0
        code, text = await command("restore", str(path), str(tmp_path / "copy"))
        assert (code, "is not empty" in text, text.count("\n")) == (2, True, 1)
    begun_us = now_us()
    await new.start(*new.voters)
    client = new.client()
    await client.open(WITHIN_S)
    assert (await client.read(WITHIN_S, key="a")).value == b"kept"
    got = (await client.acquire("sweep", 1_000, wait_ms=8_000, within_s=WITHIN_S)).response
    assert isinstance(got, Done)
    assert got.token > RESTORED_TOKEN_GAP
    assert now_us() - begun_us >= 4_000_000  # one clock, and the whole lease counts anew
    client.close()
    await new.stop(*new.voters)


async def command(*arguments: str) -> tuple[int, str]:
    """A command of the service: its code and all that it says."""

    def run() -> tuple[int, str]:
        ended = subprocess.run(
            [sys.executable, "-m", "quorum", *arguments],
            cwd=ROOT, capture_output=True, text=True, timeout=30, check=False,
        )  # fmt: skip
        return ended.returncode, ended.stdout + ended.stderr

    return await asyncio.to_thread(run)


async def test_commands_tell_what_they_did_in_a_line(tmp_path: Path) -> None:
    """And what they could not; wrong use is 2."""
    async with quorum(tmp_path) as some:
        leader, client = await some.leader(), some.client()
        await client.open(WITHIN_S)
        await client.acquire("sweep", 60_000, within_s=WITHIN_S)
        config = some.written("q0", tmp_path / "q0.toml")
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
    for wrong in (["status"], ["status", "nowhere.toml"], ["explode", "x", "y"], [str(tmp_path)]):
        code, text = await command(*wrong)
        assert (code, text.count("\n")) == (2, 1), text


async def test_a_watch_is_answered_by_a_change(tmp_path: Path) -> None:
    """Of who holds a lease, and of a record; without one after its time."""
    async with quorum(tmp_path) as some:
        await some.leader()
        client, other = some.client(), some.client()
        await client.open(WITHIN_S)
        await other.open(WITHIN_S)
        watching = asyncio.ensure_future(other.watch(lease="sweep", wait_ms=8_000, within_s=WITHIN_S))
        await until(lambda: watches(some))
        await client.put("a", 0, b"x", within_s=WITHIN_S)
        assert not watching.done()
        held = (await client.acquire("sweep", 500, within_s=WITHIN_S)).response
        assert isinstance(held, Done)
        seen = await watching
        assert (seen.owner, seen.token) == ("test", held.token)
        gone = await other.watch(lease="sweep", seen=seen, wait_ms=8_000, within_s=WITHIN_S)
        assert gone.owner == ""
        seen = await other.watch(key="a", wait_ms=8_000, within_s=WITHIN_S)
        assert seen.value == b"x"
        begun_us = now_us()
        assert await other.watch(key="a", seen=seen, wait_ms=300, within_s=WITHIN_S) == seen
        assert now_us() - begun_us >= 300_000
        client.close()
        other.close()


async def watches(some: Quorum) -> bool:
    """Whether somebody waits at the leader."""
    return (await some.health(await some.leader())).waiting == 1


async def test_the_end_of_a_session_frees_its_leases(tmp_path: Path) -> None:
    """And who leaves while waiting is not given the lease."""
    async with quorum(tmp_path) as some:
        await some.leader()
        one, gone, last = some.client(), some.client(), some.client()
        for client in (one, gone, last):
            await client.open(WITHIN_S)
        await one.acquire("sweep", 60_000, within_s=WITHIN_S)
        waits = asyncio.ensure_future(gone.acquire("sweep", 60_000, wait_ms=9_000, within_s=WITHIN_S))
        await until(lambda: watches(some))
        waits.cancel()
        await until(lambda: nobody_waits(some))
        await one.end_session(WITHIN_S)
        got = await last.acquire("sweep", 1_000, within_s=WITHIN_S)
        assert isinstance(got.response, Done)
        last.close()


async def nobody_waits(some: Quorum) -> bool:
    """Whether the one that left is forgotten."""
    return (await some.health(await some.leader())).waiting == 0


async def test_a_member_that_does_not_answer_is_told_in_a_line(tmp_path: Path) -> None:
    """Nobody there, and somebody else."""
    some = Quorum(tmp_path, 1)
    with pytest.raises(QuorumError, match="does not answer"):
        await ask_member(some.members["q0"], wire.Status(1))
