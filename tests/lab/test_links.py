"""Links on real sockets: the effect of each fault on connections and datagrams, and what its end restores."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable

import pytest
import pytest_asyncio

from fleetlab.links import Direction, Impairment, TcpLink, UdpLink
from standins.http import reset_connection
from standins.scripted import with_timeout

LOOPBACK = "127.0.0.1"
CUT = Impairment(cut=True)
FAULT_NUMBER = 1


class EchoServer:
    """A server that sends back what it reads, and records the bytes and how each connection ended."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.connection_ends: list[str] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    def address(self) -> tuple[str, int]:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                self.received += data
                writer.write(data)
            self.connection_ends.append("clean")
        except ConnectionError:
            self.connection_ends.append("reset")
        finally:
            writer.close()

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()


EchoLink = tuple[EchoServer, TcpLink, list[str]]


@pytest_asyncio.fixture
async def echo_link() -> AsyncIterator[EchoLink]:
    """An echo server behind a link, and the names of connections that their callers have ended."""
    echo, ended_names = EchoServer(), list[str]()
    await echo.start()
    link = TcpLink(
        "r0",
        "echo",
        echo.address,
        listen_host=LOOPBACK,
        source_host=LOOPBACK,
        seed=1,
        on_closed=ended_names.append,
    )
    link.open()
    yield echo, link, ended_names
    link.stop()
    echo.stop()


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until the condition holds, with the time-out of all tests."""

    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0.005)

    await with_timeout(poll())


async def connect(link: TcpLink) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect through a link."""
    return await with_timeout(asyncio.open_connection(*link.address))


async def test_bytes_and_ends_pass_unchanged(echo_link: EchoLink) -> None:
    """A megabyte is echoed, a half-close leaves the answer complete, and its end is reported once."""
    echo, link, ended_names = echo_link
    reader, writer = await connect(link)
    data = bytes(range(256)) * 4096
    writer.write(data)
    writer.write_eof()
    assert await with_timeout(reader.read()) == data
    await wait_until(lambda: echo.connection_ends == ["clean"] and len(ended_names) == 1)
    assert ended_names[0].startswith("r0:")
    writer.close()


async def test_a_reset_comes_through(echo_link: EchoLink) -> None:
    """The link resets both sides, and the called side sees a reset instead of a clean end."""
    echo, link, _ = echo_link
    reader, writer = await connect(link)
    writer.write(b"x")
    await with_timeout(reader.readexactly(1))
    link.reset()
    with pytest.raises(ConnectionResetError):
        await with_timeout(reader.readexactly(1))
    await wait_until(lambda: echo.connection_ends == ["reset"])


@pytest.mark.parametrize("direction", ["forward", "back", "both"])
async def test_no_connection_comes_up_over_a_cut(echo_link: EchoLink, direction: Direction) -> None:
    """The SYN is dropped, as by a machine that is gone; after the cut the kernel's next SYN connects."""
    _, link, _ = echo_link
    link.apply(FAULT_NUMBER, CUT, direction)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(asyncio.open_connection(*link.address), 0.5)
    connecting = asyncio.create_task(asyncio.open_connection(*link.address))
    await asyncio.sleep(0.05)
    assert not connecting.done()
    link.remove(FAULT_NUMBER)
    reader, writer = await with_timeout(connecting)
    writer.write(b"there")
    assert await with_timeout(reader.readexactly(5)) == b"there"


async def test_a_cut_in_one_direction_lets_the_other_pass(echo_link: EchoLink) -> None:
    """The request arrives; its answer arrives only after the cut."""
    echo, link, _ = echo_link
    reader, writer = await connect(link)
    link.apply(FAULT_NUMBER, CUT, "back")
    writer.write(b"asked")
    await wait_until(lambda: bytes(echo.received) == b"asked")
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(1), 0.2)
    link.remove(FAULT_NUMBER)
    assert await with_timeout(reader.readexactly(5)) == b"asked"


async def test_an_end_during_a_cut_is_reported_at_once_and_arrives_after_it(echo_link: EchoLink) -> None:
    """The caller's end is recorded at once; the called side cannot see it before the cut ends."""
    echo, link, ended_names = echo_link
    _, writer = await connect(link)
    writer.write(b"before")
    await wait_until(lambda: bytes(echo.received) == b"before")
    link.apply(FAULT_NUMBER, CUT, "both")
    writer.transport.abort()
    await wait_until(lambda: ended_names)
    await asyncio.sleep(0.1)
    assert not echo.connection_ends
    link.remove(FAULT_NUMBER)
    await wait_until(lambda: echo.connection_ends)


@pytest.mark.parametrize("end", ["clean", "reset"])
async def test_a_reset_discards_what_a_cut_holds_back_but_a_clean_end_does_not(
    echo_link: EchoLink, end: str
) -> None:
    """After a close the kernel still sends what is buffered; after a reset it discards it."""
    echo, link, ended_names = echo_link
    _, writer = await connect(link)
    writer.write(b"before")
    await wait_until(lambda: bytes(echo.received) == b"before")
    link.apply(FAULT_NUMBER, CUT, "forward")
    writer.write(b", held")
    await writer.drain()
    await asyncio.sleep(0.05)
    if end == "clean":
        writer.write_eof()
    else:
        reset_connection(writer.transport)
    await wait_until(lambda: len(ended_names) == 1)
    link.remove(FAULT_NUMBER)
    await wait_until(lambda: echo.connection_ends[:1] == [end])  # others connected after the cut
    assert bytes(echo.received) == (b"before, held" if end == "clean" else b"before")


async def test_faults_on_one_link_add_up(echo_link: EchoLink) -> None:
    """A link with two cuts is cut until both end; two delays add up."""
    echo, link, _ = echo_link
    _, writer = await connect(link)
    link.apply(1, CUT, "forward")
    link.apply(2, CUT, "forward")
    writer.write(b"x")
    link.remove(1)
    await asyncio.sleep(0.05)
    assert not echo.received
    link.remove(2)
    await wait_until(lambda: echo.received)
    link.apply(1, Impairment(delay_s=0.1), "forward")
    link.apply(2, Impairment(delay_s=0.2), "forward")
    assert link.forward.impairment.delay_s == pytest.approx(0.3)


async def test_a_delayed_link_keeps_the_order(echo_link: EchoLink) -> None:
    """Jitter larger than the gap between writes does not reorder the stream."""
    _, link, _ = echo_link
    reader, writer = await connect(link)
    link.apply(FAULT_NUMBER, Impairment(delay_s=0.002, jitter_s=0.01), "both")
    data = b"".join(b"%04d" % number for number in range(50))
    for offset in range(0, len(data), 4):
        writer.write(data[offset : offset + 4])
        await asyncio.sleep(0.001)
    assert await with_timeout(reader.readexactly(len(data))) == data


async def test_a_throttled_link_holds_back_a_bounded_amount(echo_link: EchoLink) -> None:
    """What the link cannot send yet stays in the caller's buffer instead of the lab's memory."""
    echo, link, _ = echo_link
    _, writer = await connect(link)
    link.apply(FAULT_NUMBER, Impairment(bytes_per_s=1000.0), "forward")
    writer.write(bytes(8 * 1024 * 1024))
    await asyncio.sleep(0.3)
    assert len(echo.received) <= 262144
    assert writer.transport.get_write_buffer_size() > 1024 * 1024
    writer.transport.abort()


async def test_a_closed_link_refuses_connections(echo_link: EchoLink) -> None:
    """A closed link refuses connections, and serves the same port again once it is opened."""
    _, link, _ = echo_link
    port = link.port
    link.close()
    with pytest.raises(ConnectionRefusedError):
        await with_timeout(asyncio.open_connection(*link.address))
    link.open()
    assert link.port == port
    reader, writer = await connect(link)
    writer.write(b"x")
    assert await with_timeout(reader.readexactly(1)) == b"x"


class DatagramReceiver(asyncio.DatagramProtocol):
    """Records the datagrams that it receives."""

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received.append(data)


DatagramLink = tuple[UdpLink, socket.socket, DatagramReceiver]


@pytest_asyncio.fixture
async def datagram_link() -> AsyncIterator[DatagramLink]:
    """A receiver behind a UDP link, and a socket that sends to it."""
    loop = asyncio.get_running_loop()
    transport, receiver = await loop.create_datagram_endpoint(DatagramReceiver, local_addr=(LOOPBACK, 0))
    address = transport.get_extra_info("sockname")
    link = UdpLink("r0", "r1", lambda: address, listen_host=LOOPBACK, source_host=LOOPBACK, seed=7)
    await link.start()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    yield link, sock, receiver
    sock.close()
    link.stop()
    transport.close()


async def send_numbered(datagram_link: DatagramLink, count: int) -> list[int]:
    """Send ``count`` numbered datagrams; return the numbers of those that arrived."""
    link, sock, receiver = datagram_link
    for number in range(count):
        sock.sendto(b"%d" % number, link.address)
        if number % 20 == 19:
            await asyncio.sleep(0.002)
    received_count = -1
    while received_count != len(receiver.received):
        received_count = len(receiver.received)
        await asyncio.sleep(0.1)
    return [int(data) for data in receiver.received]


async def test_datagrams_pass(datagram_link: DatagramLink) -> None:
    """Without a fault all arrive once and in order."""
    assert await send_numbered(datagram_link, 200) == list(range(200))


async def test_datagrams_are_lost_doubled_and_reordered_by_seed(datagram_link: DatagramLink) -> None:
    """They are so in the shares that the fault states, and each one is counted."""
    link = datagram_link[0]
    link.apply(FAULT_NUMBER, Impairment(lost=0.3, doubled=0.2, reordered=0.2), "forward")
    received = await send_numbered(datagram_link, 400)
    assert 200 <= len(set(received)) <= 360
    assert 400 - len(set(received)) == link.counts["lost"]
    assert len(received) - len(set(received)) == link.counts["doubled"]
    assert received != sorted(received)
    assert link.counts["reordered"] > 20


async def test_datagrams_end_at_a_cut(datagram_link: DatagramLink) -> None:
    """Those sent during the cut are lost for good."""
    link = datagram_link[0]
    link.apply(FAULT_NUMBER, CUT, "forward")
    assert await send_numbered(datagram_link, 20) == []
    link.remove(FAULT_NUMBER)
    assert await send_numbered(datagram_link, 20) == list(range(20))


async def test_an_end_for_a_side_that_is_reset_meanwhile_breaks_nothing(echo_link: EchoLink) -> None:
    """A clean end that a cut held back is delivered when the caller has reset its connection meanwhile."""
    echo, link, _ = echo_link
    _, writer = await connect(link)
    writer.write(b"x")
    await wait_until(lambda: echo.received)
    link.apply(FAULT_NUMBER, CUT, "back")
    writer.write_eof()
    await wait_until(lambda: echo.connection_ends == ["clean"])
    reset_connection(writer.transport)  # the event loop does not run before the cut ends
    link.remove(FAULT_NUMBER)
    reader, writer = await connect(link)
    writer.write(b"y")
    assert await with_timeout(reader.readexactly(1)) == b"y"


async def test_a_caller_that_ends_before_its_connection_is_forwarded_is_reported(echo_link: EchoLink) -> None:
    """Its end is reported once: what it sent still arrives, and must not look like a call in progress."""
    echo, link, ended_names = echo_link
    sock = socket.create_connection(link.address)
    sock.sendall(b"written")
    sock.close()  # the link has not even accepted it
    await wait_until(lambda: bytes(echo.received) == b"written" and ended_names)
    await asyncio.sleep(0.05)
    assert len(ended_names) == 1
