"""Start, signals and exit code of one relay: ``python -m relay``."""

from __future__ import annotations

import signal
import sys
from typing import Any, cast

if __name__ == "__main__":
    # Until the event loop handles it. The start ends with a look at the file, so no signal is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Every connection of the relay is plain TCP. With this entry the import of ``ssl`` fails, and asyncio works
# without TLS; OpenSSL would take a fifth of the memory of a relay that has just started.
sys.modules.update(cast("dict[str, Any]", {"ssl": None}))

import asyncio
import logging
import os
import pickle
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, replace
from itertools import islice

from relay import config
from relay.admin import PREDECESSOR_ADDRESS_S, AdminServer, RequestHandler
from relay.clients import Server
from relay.discovery_address import DiscoveryAddressFile
from relay.driver import Driver, MessageCounts
from relay.fair_queue import FairQueue
from relay.handover import (
    HandoverPayload,
    HandoverServer,
    Predecessor,
    ReceivedHandover,
    RelayLock,
    become_relay,
)
from relay.handover_state import AnyVersionState, PortableState, layout
from relay.http import Address
from relay.journal import Journal
from relay.listeners import Listener, duplicate_socket, listen_at, listen_when_free
from relay.resource_usage import CostReporter, RelayCounters

LOG = logging.getLogger("relay")
# s after SIGTERM in which clients are still served, because no other process would receive their messages.
SERVE_AFTER_SIGTERM_S = 2.6
EXIT_AFTER_SIGTERM_S = 3.2  # s after SIGTERM when the process exits; SIGKILL comes no sooner than 3.7 s
# Iterations of the event loop in which accepted connections are set up and requests on them are answered.
EVENT_LOOP_TURNS = 5
ANSWER_TIMEOUT_S = 0.3  # s for answers to requests that have arrived, before the process exits
SPARE_DESCRIPTORS = 16  # descriptors of a process beside those of clients, calls and idle connections
COST_LOG_INTERVAL_S = 60.0  # s between log lines on the process's resource usage
STATE_FILE_DESCRIPTORS = 2  # the journal and the lock
SHUTDOWN_POLL_S = 0.02  # s between checks whether a shutdown is complete


class Service:
    """One process: it becomes the relay, serves, and leaves its state to the next process or the journal."""

    def __init__(self, cfg: config.Config, address_file: DiscoveryAddressFile) -> None:
        self._config = cfg
        self._address_file = address_file
        self._predecessor: Predecessor | None = None
        # Computed at the start, while the source files are still those that this process has loaded. Without
        # a passed socket there is no handover, and reading the files would take a fifteenth of a start.
        self._layout = layout(cfg.settings) if cfg.passed_socket is not None else ""
        self.exit_code: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.admin = AdminServer()
        self._cost_timer: asyncio.TimerHandle | None = None  # for the next cost log line
        # Only used with a passed socket: without one, no other process could accept this one's clients.
        self._handover_path = cfg.shared_dir / "handover.sock"
        self.lock = RelayLock(cfg.state_dir)

    async def start(self) -> None:
        """Become the relay, with the state of the previous process or that of the journal."""
        cfg = self._config
        if cfg.admin is not None:
            # The running relay still answers there for a while where that was its predecessor's address.
            await self.admin.start(await listen_when_free(cfg.admin, PREDECESSOR_ADDRESS_S + 1))
        received = await become_relay(self.lock, self._handover_path, self._layout)
        if (address := self._address_file.read_if_replaced()) is not None:
            cfg = replace(cfg, discovery=address)
        self.journal = Journal(cfg.state_dir, cfg.disk_bytes)
        self.driver = Driver(cfg, self.journal, self._on_crash)
        self.driver.on_discovery_failed = self.follow_replaced_file
        self.server = Server(self.driver, cfg.max_sockets // 2, cfg.memory_bytes)
        if received is None:
            self.driver.start()
        else:
            await self._restore(received)
        sock = listen_at(cfg.listen) if cfg.passed_socket is None else duplicate_socket(cfg.passed_socket)
        await self.server.start(sock)
        if received is not None:
            self._predecessor = Predecessor(received.sender, self.reload_discovery)
        self.cost_reporter = CostReporter(self._resource_counts)
        self.admin.handler = RequestHandler(
            self.driver, lambda: self.server.serving, self._release_predecessor, self.cost_reporter.lines
        )
        if cfg.admin is None:  # there is no health check to release it
            self._release_predecessor()
        else:
            self.cost_reporter.start()
            self._schedule_cost_log()
        self.handover_server = HandoverServer(
            self._handover_path,
            self._layout,
            self.lock,
            quiesce=self._quiesce,
            export_payload=self._export_payload,
            resume_serving=self._resume_serving,
        )
        if cfg.passed_socket is not None:
            self.handover_server.start()

    def _release_predecessor(self) -> None:
        if self._predecessor is not None:
            self._predecessor.release()

    def reload_discovery(self) -> None:
        """Read discovery's address again, as SIGHUP asks for; an unusable configuration changes nothing."""
        self._move_discovery(self._address_file.read())

    def follow_replaced_file(self) -> None:
        """Do the same if the configuration file has been replaced.

        A signal that reached no process that could follow it is made up for so, once discovery's old address
        fails.
        """
        self._move_discovery(self._address_file.read_if_replaced())

    def _move_discovery(self, address: Address | None) -> None:
        if address is not None:
            LOG.info("discovery is at %s:%d by the configuration", *address)
            self.driver.move_discovery(address)

    def _resource_counts(self) -> RelayCounters:
        """The counters of the relay's parts, for the cost report."""
        counts = self.driver.stats.counts
        return RelayCounters(
            ended_messages=counts.ended.total(),
            module_us=self.driver.module_us,
            journal_bytes=self.journal.written_bytes,
            journal_writes=self.journal.write_count,
            descriptors={
                "clients": self.server.connection_count,
                **self.driver.descriptor_counts,
                "operators": len(self.admin.connections),
                "files": STATE_FILE_DESCRIPTORS,
            },
            calls=self.driver.call_counts,
            outages=self.driver.outage_counts,
            ended_clients={str(reason): count for reason, count in self.server.ended_counts.items()},
            refused_messages={str(reason): count for reason, count in self.driver.refusal_counts.items()},
            deferred_input=FairQueue.of_running_loop().deferred_count,
        )

    def _schedule_cost_log(self) -> None:
        self._cost_timer = asyncio.get_running_loop().call_later(COST_LOG_INTERVAL_S, self._log_costs)

    def _log_costs(self) -> None:
        LOG.info("cost: %s", self.cost_reporter.summary())
        self._schedule_cost_log()

    def _on_crash(self, _error: BaseException) -> None:
        if not self.exit_code.done():
            self.exit_code.set_result(1)

    async def _quiesce(self, same_layout: bool) -> None:
        """Stop accepting connections and set up those accepted already.

        A process of another layout cannot continue calls, so they are given time to end first.
        """
        if not same_layout:
            loop = asyncio.get_running_loop()
            self.driver.set_shutdown_deadline(loop.time() + SERVE_AFTER_SIGTERM_S)
            await until(loop.time() + SERVE_AFTER_SIGTERM_S, lambda: self.driver.idle, 0.0)
        for listener in self._listeners:
            listener.pause()
        await run_ready_callbacks()

    async def _resume_serving(self) -> None:
        """Undo ``_quiesce`` after a handover that failed."""
        self.driver.set_shutdown_deadline(None)
        for listener in self._listeners:
            await listener.start()

    @property
    def _listeners(self) -> list[Listener]:
        clients = [self.server.listener] if self.server.listener is not None else []
        return clients + self.admin.listeners

    def _export_payload(self, same_layout: bool) -> HandoverPayload:
        """The state for the next process, with the sockets of operators, clients, calls and connections."""
        clients, client_fds = self.server.export_clients()
        portable, same_layout_state, call_fds = self.driver.export_state(
            self._config.max_sockets // 2 - len(client_fds) - SPARE_DESCRIPTORS
        )
        admin_fds = [listener.sock.fileno() for listener in self.admin.listeners[:1]]
        counts = self.driver.stats.counts
        state = {  # the keys are the same in all versions
            "heard": asdict(portable),
            "clients": clients,
            "admin": len(admin_fds),
            "ended": [[*name, count] for name, count in counts.ended.items()],
            "attempts": counts.attempts,
            "portable": None if same_layout else self.driver.export_portable_state().to_json(),
        }
        return HandoverPayload(
            state,
            pickle.dumps(same_layout_state) if same_layout else b"",
            admin_fds + client_fds + (call_fds if same_layout else []),
        )

    async def _restore(self, received: ReceivedHandover) -> None:
        """Continue with the state of the previous process."""
        state, sockets = received.any_version_state, iter(received.sockets)
        previous_counts = MessageCounts(
            Counter({(cls, result): count for cls, result, count in state["ended"]}), state["attempts"]
        )
        for sock in islice(sockets, state["admin"]):
            await self.admin.take_over(sock, previous_counts)
        clients = list(islice(sockets, len(state["clients"])))
        self.driver.import_any_version_state(AnyVersionState(**state["heard"]))
        if received.pickled_state:
            self.driver.start_from(pickle.loads(received.pickled_state), sockets)
        else:
            self.driver.start(PortableState.from_json(state.get("portable")))
        await self.server.restore_clients(state["clients"], clients)
        LOG.info("handover: %d clients and %d bytes taken over", len(clients), len(received.pickled_state))

    def close(self) -> None:
        """Close everything; the lock last."""
        self.handover_server.close()
        if self._predecessor is not None:
            self._predecessor.close()
        self.cost_reporter.close()
        if self._cost_timer is not None:
            self._cost_timer.cancel()
        self.admin.close()
        self.server.close()
        self.driver.close()
        self.journal.close()
        self.lock.close()


async def serve(cfg: config.Config, address_file: DiscoveryAddressFile) -> int:
    """Run until SIGTERM or until an error ends the step loop; return the exit code."""
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    reload_requested = asyncio.Event()  # by a SIGHUP that came before this process was the relay
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    service = Service(cfg, address_file)
    start = loop.create_task(service.start())
    termination = loop.create_task(terminated.wait())
    await asyncio.wait({start, termination}, return_when=asyncio.FIRST_COMPLETED)
    if not start.done() and not service.lock.claimed:  # another process is still the relay
        start.cancel()
        return 0
    await start  # clients that were taken over are served before a shutdown
    loop.add_signal_handler(signal.SIGHUP, service.reload_discovery)
    if reload_requested.is_set():
        service.reload_discovery()
    else:
        service.follow_replaced_file()
    LOG.info("%s serves at %s:%d", cfg.name, *cfg.listen)
    LOG.info("settings: %s; disk %d, sockets %d", cfg.settings, cfg.disk_bytes, cfg.max_sockets)
    stop = loop.create_task(shut_down(terminated, service))
    endings: set[asyncio.Future[Any]] = {stop, service.exit_code}
    await asyncio.wait(endings, return_when=asyncio.FIRST_COMPLETED)
    service.close()
    if service.exit_code.done():
        return service.exit_code.result()
    stop.result()
    return 0


async def shut_down(terminated: asyncio.Event, service: Service) -> None:
    """Handle SIGTERM: serve while calls can still end, then close client connections between requests.

    A connection closed with a request unanswered loses a message. So connections are closed while the server
    still listens: a client whose request crossed the close repeats it on a new connection and is answered.
    """
    await terminated.wait()
    LOG.info("SIGTERM: shutting down")
    driver, server = service.driver, service.server
    await service.handover_server.stop()  # from now on only the journal passes messages on
    start_s = asyncio.get_running_loop().time()
    driver.set_shutdown_deadline(start_s + EXIT_AFTER_SIGTERM_S)
    await until(
        start_s + SERVE_AFTER_SIGTERM_S, lambda: not server.connection_count and driver.idle, start_s + 0.5
    )
    server.close_clients()
    await until(
        start_s + EXIT_AFTER_SIGTERM_S,
        lambda: not server.connection_count and driver.idle,
        start_s + SERVE_AFTER_SIGTERM_S + 0.3,
    )
    await answer_received_requests(server)
    LOG.info("SIGTERM: shut down")


async def answer_received_requests(server: Server) -> None:
    """Answer all requests that have arrived, including those on connections not accepted yet."""
    await run_ready_callbacks()
    if server.listener is not None:
        server.listener.pause()
    await run_ready_callbacks()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + ANSWER_TIMEOUT_S
    while server.has_queued_requests and loop.time() < end_s:
        await asyncio.sleep(0)


async def run_ready_callbacks() -> None:
    """Let the event loop run all callbacks that are ready."""
    for _ in range(EVENT_LOOP_TURNS):
        await asyncio.sleep(0)


async def until(last_s: float, done: Callable[[], bool], first_s: float) -> None:
    """Wait until ``done`` is true, at least until ``first_s`` and at most until ``last_s``, in loop time."""
    loop = asyncio.get_running_loop()
    while loop.time() < last_s and not (loop.time() >= first_s and done()):
        await asyncio.sleep(SHUTDOWN_POLL_S)


def main() -> int:
    """Read the configuration and serve; return the exit code, 2 for an unusable configuration."""
    logging.basicConfig(
        level=logging.INFO,
        stream=sys.stderr,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    address_file = DiscoveryAddressFile(os.environ)
    try:
        cfg = config.load(os.environ)
    except config.ConfigError as error:
        LOG.critical("configuration: %s", error)
        return 2
    with asyncio.Runner() as runner:
        exit_code = runner.run(serve(cfg, address_file))
        # The loop gives its handlers back as it closes, and SIGHUP would end the process in its last moment.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
