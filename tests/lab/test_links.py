"""Links on real sockets: what each fault does to connections and datagrams, and what a heal brings back."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable

import pytest
import pytest_asyncio

from fleetlab.links import Direction, Impairment, TcpLink, UdpLink
from standins.http import reset_connection
from standins.scripted import with_timeout

HERE = "127.0.0.1"
CUT = Impairment(cut=True)
FAULT = 1


class Echo:
    """A server that answers with what it reads, and knows what came."""

    def __init__(self) -> None:
        self.came = bytearray()
        self.ends: list[str] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HERE, 0)

    def where(self) -> tuple[str, int]:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                self.came += data
                writer.write(data)
            self.ends.append("clean")
        except ConnectionError:
            self.ends.append("reset")
        finally:
            writer.close()

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()


Ways = tuple[Echo, TcpLink, list[str]]


@pytest_asyncio.fixture
async def ways() -> AsyncIterator[Ways]:
    """An echo behind a link, and the names of connections whose caller has ended."""
    echo, gone = Echo(), list[str]()
    await echo.start()
    link = TcpLink(
        "r0", "echo", echo.where, listen_host=HERE, source_host=HERE, seed=1, on_closed=gone.append
    )
    link.open()
    yield echo, link, gone
    link.stop()
    echo.stop()


async def until(done: Callable[[], object]) -> None:
    """Wait for something, under the bound of all tests."""

    async def look() -> None:
        while not done():
            await asyncio.sleep(0.005)

    await with_timeout(look())


async def called(link: TcpLink) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection through a link."""
    return await with_timeout(asyncio.open_connection(*link.address))


async def test_bytes_and_ends_pass_unchanged(ways: Ways) -> None:
    """A megabyte there and back, a half-close that leaves the answer whole, and one end told."""
    echo, link, gone = ways
    reader, writer = await called(link)
    data = bytes(range(256)) * 4096
    writer.write(data)
    writer.write_eof()
    assert await with_timeout(reader.read()) == data
    await until(lambda: echo.ends == ["clean"] and len(gone) == 1)
    assert gone[0].startswith("r0:")
    writer.close()


async def test_a_reset_comes_through(ways: Ways) -> None:
    """From the caller to the called side, and by a fault to both."""
    echo, link, _ = ways
    reader, writer = await called(link)
    writer.write(b"x")
    await with_timeout(reader.readexactly(1))
    link.reset()
    with pytest.raises(ConnectionResetError):
        await with_timeout(reader.readexactly(1))
    await until(lambda: echo.ends == ["reset"])


@pytest.mark.parametrize("direction", ["forward", "back", "both"])
async def test_no_connection_comes_up_over_a_cut(ways: Ways, direction: Direction) -> None:
    """The SYN is dropped, as by a machine that vanished; after the heal the kernel's next one comes up."""
    _, link, _ = ways
    link.apply(FAULT, CUT, direction)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(asyncio.open_connection(*link.address), 0.5)
    waiting = asyncio.create_task(asyncio.open_connection(*link.address))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    link.remove(FAULT)
    reader, writer = await with_timeout(waiting)
    writer.write(b"there")
    assert await with_timeout(reader.readexactly(5)) == b"there"


async def test_a_cut_in_one_direction_lets_the_other_pass(ways: Ways) -> None:
    """What is asked arrives, its answer does not until the heal."""
    echo, link, _ = ways
    reader, writer = await called(link)
    link.apply(FAULT, CUT, "back")
    writer.write(b"asked")
    await until(lambda: bytes(echo.came) == b"asked")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(1), 0.2)
    link.remove(FAULT)
    assert await with_timeout(reader.readexactly(5)) == b"asked"


async def test_an_end_during_a_cut_is_told_at_once_and_arrives_after_it(ways: Ways) -> None:
    """The caller's own end counts for the history; the called side cannot know of it before the heal."""
    echo, link, gone = ways
    _, writer = await called(link)
    writer.write(b"before")
    await until(lambda: bytes(echo.came) == b"before")
    link.apply(FAULT, CUT, "both")
    writer.transport.abort()
    await until(lambda: gone)
    await asyncio.sleep(0.1)
    assert not echo.ends
    link.remove(FAULT)
    await until(lambda: echo.ends)


@pytest.mark.parametrize("how", ["clean", "reset"])
async def test_what_a_cut_holds_back_goes_with_a_reset_and_not_with_a_clean_end(ways: Ways, how: str) -> None:
    """A system goes on to send what a closed connection still owes, and forgets it with a reset."""
    echo, link, gone = ways
    _, writer = await called(link)
    writer.write(b"before")
    await until(lambda: bytes(echo.came) == b"before")
    link.apply(FAULT, CUT, "forward")
    writer.write(b", held")
    await writer.drain()
    await asyncio.sleep(0.05)
    if how == "clean":
        writer.write_eof()
    else:
        reset_connection(writer.transport)
    await until(lambda: len(gone) == 1)
    link.remove(FAULT)
    await until(lambda: echo.ends[:1] == [how])  # others are of connections that came up with the heal
    assert bytes(echo.came) == (b"before, held" if how == "clean" else b"before")


async def test_faults_on_one_link_add_up(ways: Ways) -> None:
    """Two cuts end with the second, two delays come after each other."""
    echo, link, _ = ways
    _, writer = await called(link)
    link.apply(1, CUT, "forward")
    link.apply(2, CUT, "forward")
    writer.write(b"x")
    link.remove(1)
    await asyncio.sleep(0.05)
    assert not echo.came
    link.remove(2)
    await until(lambda: echo.came)
    link.apply(1, Impairment(delay_s=0.1), "forward")
    link.apply(2, Impairment(delay_s=0.2), "forward")
    assert link.forward.impairment.delay_s == pytest.approx(0.3)


async def test_a_delayed_link_keeps_the_order(ways: Ways) -> None:
    """With jitter that would turn pieces round, the stream stays one."""
    _, link, _ = ways
    reader, writer = await called(link)
    link.apply(FAULT, Impairment(delay_s=0.002, jitter_s=0.01), "both")
    data = b"".join(b"%04d" % number for number in range(50))
    for at in range(0, len(data), 4):
        writer.write(data[at : at + 4])
        await asyncio.sleep(0.001)
    assert await with_timeout(reader.readexactly(len(data))) == data


async def test_a_throttled_link_holds_back_a_bounded_amount(ways: Ways) -> None:
    """The caller's writes pile up at the caller, not in the lab."""
    echo, link, _ = ways
    _, writer = await called(link)
    link.apply(FAULT, Impairment(bytes_per_s=1000.0), "forward")
    writer.write(bytes(8 * 1024 * 1024))
    await asyncio.sleep(0.3)
    assert len(echo.came) <= 262144
    assert writer.transport.get_write_buffer_size() > 1024 * 1024
    writer.transport.abort()


async def test_nobody_there_is_a_refused_connection(ways: Ways) -> None:
    """And the same port serves again once somebody is."""
    _, link, _ = ways
    port = link.port
    link.close()
    with pytest.raises(ConnectionRefusedError):
        await with_timeout(asyncio.open_connection(*link.address))
    link.open()
    assert link.port == port
    reader, writer = await called(link)
    writer.write(b"x")
    assert await with_timeout(reader.readexactly(1)) == b"x"


class Heard(asyncio.DatagramProtocol):
    """Datagrams that came."""

    def __init__(self) -> None:
        self.came: list[bytes] = []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.came.append(data)


Datagrams = tuple[UdpLink, socket.socket, Heard]


@pytest_asyncio.fixture
async def datagrams() -> AsyncIterator[Datagrams]:
    """A listener behind a UDP link, and a socket that sends to it."""
    loop = asyncio.get_running_loop()
    transport, heard = await loop.create_datagram_endpoint(Heard, local_addr=(HERE, 0))
    address = transport.get_extra_info("sockname")
    link = UdpLink("r0", "r1", lambda: address, listen_host=HERE, source_host=HERE, seed=7)
    await link.start()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    yield link, sock, heard
    sock.close()
    link.stop()
    transport.close()


async def send(datagrams: Datagrams, count: int) -> list[int]:
    """The numbers of the datagrams that came, of so many sent."""
    link, sock, heard = datagrams
    for number in range(count):
        sock.sendto(b"%d" % number, link.address)
        if number % 20 == 19:
            await asyncio.sleep(0.002)
    settled = -1
    while settled != len(heard.came):
        settled = len(heard.came)
        await asyncio.sleep(0.1)
    return [int(data) for data in heard.came]


async def test_datagrams_pass(datagrams: Datagrams) -> None:
    """All of them once and in order, without a fault."""
    assert await send(datagrams, 200) == list(range(200))


async def test_datagrams_are_lost_doubled_and_reordered_by_seed(datagrams: Datagrams) -> None:
    """In the stated shares, and each counted."""
    link = datagrams[0]
    link.apply(FAULT, Impairment(lost=0.3, doubled=0.2, reordered=0.2), "forward")
    came = await send(datagrams, 400)
    assert 200 <= len(set(came)) <= 360
    assert 400 - len(set(came)) == link.counts["lost"]
    assert len(came) - len(set(came)) == link.counts["doubled"]
    assert came != sorted(came)
    assert link.counts["reordered"] > 20


async def test_datagrams_end_at_a_cut(datagrams: Datagrams) -> None:
    """In one direction, and they are gone for good."""
    link = datagrams[0]
    link.apply(FAULT, CUT, "forward")
    assert await send(datagrams, 20) == []
    link.remove(FAULT)
    assert await send(datagrams, 20) == list(range(20))


async def test_an_end_for_a_side_that_is_reset_meanwhile_breaks_nothing(ways: Ways) -> None:
    """A clean end that was held back by a cut meets a caller that has reset its connection."""
    echo, link, _ = ways
    _, writer = await called(link)
    writer.write(b"x")
    await until(lambda: echo.came)
    link.apply(FAULT, CUT, "back")
    writer.write_eof()
    await until(lambda: echo.ends == ["clean"])
    reset_connection(writer.transport)  # and the loop has no time to see it
    link.remove(FAULT)
    reader, writer = await called(link)
    writer.write(b"y")
    assert await with_timeout(reader.readexactly(1)) == b"y"


async def test_a_caller_that_ends_before_its_connection_is_through_is_told(ways: Ways) -> None:
    """Once: a call that it had written comes to the called side all the same, and must not look as if out."""
    echo, link, gone = ways
    sock = socket.create_connection(link.address)
    sock.sendall(b"written")
    sock.close()  # the link has not even accepted it
    await until(lambda: bytes(echo.came) == b"written" and gone)
    await asyncio.sleep(0.05)
    assert len(gone) == 1
