"""One run: a fleet, its clients, endpoints and platform, the links between them, faults and the history."""

from __future__ import annotations

import asyncio
import os
import resource
import shlex
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from fleetlab.addresses import CLIENTS_INDEX, SERVERS_INDEX, Addresses
from fleetlab.admin_calls import read_costs
from fleetlab.checks.processes import MODULE_CALLS_FIGURE, NETWORK_CALLS_FIGURE
from fleetlab.fault_schedule import ScheduledFault, describe_fault, number_faults
from fleetlab.fenced_counter import ACTS_FILE, Act
from fleetlab.fleet import (
    Fleet,
    FleetError,
    Member,
    ProcessLimits,
    deploy_command,
    module_command,
    peak_memory_mb,
)
from fleetlab.lease_load import FIGURES_PREFIX
from fleetlab.links import Address, Impairment, TcpLink, UdpLink
from fleetlab.process_faults import ProcessFaults
from fleetlab.scenario import (
    ADDRESS_PLACEHOLDER,
    ADMIN_PORT,
    CLIENTS_PORT,
    LINK_FAULTS,
    LINK_PLACEHOLDER,
    PARTNER_FAULTS,
    PEERS_PLACEHOLDER,
    PLATFORM_FAULTS,
    Fault,
    Program,
    Scenario,
    count_program_links,
    count_relay_links,
    linked_ports_in,
)
from fleetlab.settings import relay_settings
from membership.trace import TRACE_FILE, ViewChange
from standins import clients, records
from standins.partner import Clock, DestinationModel, Endpoint
from standins.platform import EndpointEntry, Platform
from standins.scripted import encode_command

T = TypeVar("T")
CLIENTS_BACKLOG = 1_024  # of a relay's listening socket that the platform holds
LAG_PERIOD_S = 0.02  # period of the measurement of the lab's own lag
MIN_NOTED_LAG_S = 0.03  # smaller lags are not recorded
# Discovery that has moved closes its open connections at the old address after this time, as the terms say.
OLD_DISCOVERY_CLOSE_S = 1.5
RECORDED_FIGURES = (  # figures of each relay that are recorded at the end of a run
    NETWORK_CALLS_FIGURE,
    MODULE_CALLS_FIGURE,
    "descriptors.open",
    "memory.resident_bytes",
)
COUNTS_AGREE_S = 1.0  # at the end both counts of a relay's open calls have to agree once within this time
END_GRACE_S = 1.0  # a run ends this long after the last deadline, even if messages have not ended
FLUSH_BYTES = 64 * 1024  # write buffer of the history's file
SEED_STRIDE = 65_536  # distance between the seeds of two runs, so that their links have different seeds
SOCKETS_PER_UDP_LINK = 2  # of a link that carries datagrams, beside its TCP listener
SPARE_DESCRIPTORS = 1_024  # left for connections through links and for the lab's other sockets


class LabClock(Clock):
    """The clock of a run, which also names callers by their relay."""

    def __init__(self, relays: dict[str, str]) -> None:
        super().__init__()
        self._relay_by_address = relays

    def caller(self, peer: tuple[str, int]) -> tuple[str, str]:
        """Return a caller's relay and the name of its connection, by the caller's address and port."""
        relay = self._relay_by_address.get(peer[0], peer[0])
        return relay, f"{relay}:{peer[1]}"


class History:
    """The file of all records, in the order in which they were made.

    Time 0 is the beginning of the load. Earlier records are kept until then, and written with negative times.
    ``subscribers`` are called with each record.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb", buffering=FLUSH_BYTES)
        self._before_load: list[records.AnyRecord] = []  # not written yet
        self._load_begun = False
        self.subscribers: list[Callable[[records.AnyRecord], None]] = []

    def __call__(self, record: records.AnyRecord) -> None:
        """Add a record and call the subscribers; do nothing once the history is closed."""
        if self._file.closed:
            return
        if self._load_begun:
            self._file.write(records.encode_line(record))
        else:
            self._before_load.append(record)
        for subscriber in self.subscribers:
            subscriber(record)

    def begin_load(self, at_s: float) -> None:
        """Begin the load; ``at_s`` is its time on the clock that earlier records have."""
        for record in self._before_load:
            is_head = isinstance(record, records.Head)
            moved = record if is_head else msgspec.structs.replace(record, t=record.t - at_s)
            self._file.write(records.encode_line(moved))
        self._before_load.clear()
        self._load_begun = True
        self(records.Phase(0.0, "load"))

    def close(self) -> None:
        """Close the file; records of a run that had no load keep their times."""
        if not self._file.closed:
            self._file.writelines(map(records.encode_line, self._before_load))
        self._file.close()


def check_descriptors(scenario: Scenario) -> None:
    """Raise ``FleetError`` if this process may not open as many sockets as the run's links need."""
    tcp_links, udp_sockets = count_relay_links(scenario), 0
    for program in scenario.program:
        program_links = count_program_links(scenario, program)
        tcp_links += program_links
        udp_sockets += program_links * SOCKETS_PER_UDP_LINK if program.datagrams else 0
    max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if tcp_links + udp_sockets + SPARE_DESCRIPTORS > max_descriptors:
        others = f" and {len(scenario.program_names)} further processes" if scenario.program else ""
        datagrams = f" and {udp_sockets} sockets for datagrams" if udp_sockets else ""
        raise FleetError(
            f"{scenario.relays} relays{others} have {tcp_links} links{datagrams}; "
            f"this process may open {max_descriptors} files"
        )


class Lab:
    """A run of a scenario; ``play`` writes ``history.jsonl`` and a folder for each process to ``out``."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        out: Path,
        faults: list[Fault],
        report_progress: Callable[[str], None],
    ) -> None:
        self.scenario, self.seed, self.out, self._report_progress = scenario, seed, out, report_progress
        self._scheduled_faults = number_faults(faults)
        self._links: dict[tuple[str, str], TcpLink] = {}
        self._udp_links: list[UdpLink] = []
        self._program_ports: dict[str, int] = {}  # by further process: a port that is open once it is ready
        self._tasks: set[asyncio.Task[None]] = set()
        self._errors: list[BaseException] = []

    async def play(self) -> None:
        """Play the whole run and end every process that it started.

        Raise ``FleetError`` if the fleet does not come up, and the first error of a fault or of the lag
        measurement.
        """
        self.out.mkdir(parents=True, exist_ok=True)
        command = (
            deploy_command() if self.scenario.relay == "run" else module_command("fleetlab.scripted_relay")
        )
        check_descriptors(self.scenario)
        self._address_pool = address_pool = Addresses()
        names = self.scenario.relay_names
        self._addresses = {name: address_pool.process_address(at) for at, name in enumerate(names)}
        self._relay_by_address = {address: name for name, address in self._addresses.items()}
        programs = self.scenario.program_names
        self._program_addresses = {
            name: address_pool.process_address(len(names) + at) for at, name in enumerate(programs)
        }
        self._clock = LabClock(self._relay_by_address)
        self.history = History(self.out / "history.jsonl")
        try:
            self._create_surroundings()
            await self._open_endpoints_and_links()
            await self._start_processes(command)
            await self._run_load()
            await self._record_relay_figures()
            self._record_program_files()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await self._close()
            address_pool.close()
        if self._errors:
            raise self._errors[0]

    def _create_surroundings(self) -> None:
        """Create endpoints, platform, clients and the fleet; nothing listens yet."""
        scenario, clock, sink = self.scenario, self._clock, self.history
        plan = msgspec.to_builtins(scenario)
        dest_by_host = {host: partner.dest for partner in scenario.partners for host in partner.hosts}
        sink(records.Head(0.0, plan["about"], self.seed, scenario.relay_names, dest_by_host, plan))
        self.destinations = [DestinationModel(partner) for partner in scenario.partners]
        self.endpoints = {
            host: Endpoint(
                destination,
                host,
                address=self._address_pool.address_at(SERVERS_INDEX),
                sink=sink,
                clock=clock,
                seed=self.seed * 1009 + number,
            )
            for number, (destination, host) in enumerate(
                (s, h) for s in self.destinations for h in s.spec.hosts
            )
        }
        self.platform = Platform(sink, clock, self._dial, self._platform_delay_s)
        for destination in self.destinations:
            for host in destination.spec.hosts:
                self.platform.add_entry(
                    EndpointEntry(host, destination.spec.zone, destination.spec.kind, destination.spec.dest)
                )
        shares = clients.draw_relay_shares(scenario.relays, scenario.load.uneven, self.seed)
        names = scenario.relay_names
        self.load_balancer = clients.LoadBalancer(
            dict(zip(names, shares, strict=True)), scenario.load.front_learns_s
        )
        self.clients = clients.Clients(
            scenario.load, scenario.classes, front=self.load_balancer, sink=sink, clock=clock,
            reach=lambda relay: self._links["clients", relay].address, prefix=f"{self.seed & 0xFFFFFFFF:08x}",
        )  # fmt: skip
        sink.subscribers.append(self._on_record)
        self.fleet = Fleet(self.out / "processes", clock.now, sink, self._on_exit, self._on_ready)
        self._process_faults = ProcessFaults(
            self.fleet, self._addresses, clients=self._address_pool.address_at(CLIENTS_INDEX),
            is_answering=self._is_answering, before_restart=self._store_known_list,
        )  # fmt: skip

    def _on_record(self, record: records.AnyRecord) -> None:
        """Tell the clients when their messages end."""
        if isinstance(record, records.Noticed):
            self.clients.message_ended(record.ref, record.result, record.wait_ms)
        elif isinstance(record, records.Reply):
            for ref, end in zip(record.refs, record.ends, strict=True):
                if end == "delivered":
                    self.clients.message_ended(ref, end)

    def _add_link(self, caller: str, called: str, target: Callable[[], Address], source: str) -> TcpLink:
        """Create a link that does not listen yet; connections from others than clients are recorded."""

        def ended(conn: str) -> None:
            self.history(records.Gone(self._clock.now(), conn))

        def opened(conn: str) -> None:
            self.history(records.Opened(self._clock.now(), conn))

        callbacks = {} if caller == "clients" else {"on_closed": ended, "on_opened": opened}
        link = TcpLink(
            caller, called, target, listen_host=self._address_pool.link_address(len(self._links)),
            source_host=source, seed=self.seed * SEED_STRIDE + len(self._links), **callbacks,
        )  # fmt: skip
        self._links[caller, called] = link
        return link

    async def _open_endpoints_and_links(self) -> None:
        """Start all endpoints and agents, and open the links to them."""
        for endpoint in self.endpoints.values():
            await endpoint.start()
        for name, address in self._addresses.items():
            agent = await self.platform.start_agent(name, self._address_pool.address_at(SERVERS_INDEX))
            self._add_link(
                "clients",
                name,
                partial(fixed_address, address, CLIENTS_PORT),
                self._address_pool.address_at(CLIENTS_INDEX),
            )
            self._add_link(name, "platform", agent.listener.address, address).open()
            for host, endpoint in self.endpoints.items():
                self._add_link(name, host, endpoint.listener.address, address).open()

    def _dial(self, relay: str, host: str) -> str:
        """Return the address under which a relay reaches an endpoint: that of its link."""
        return "{}:{}".format(*self._links[relay, host].address)

    def _platform_delay_s(self, relay: str) -> float | None:
        """Return the delay from the platform to a relay in seconds, or None while that way is cut."""
        impairment = self._links[relay, "platform"].back.impairment
        return None if impairment.cut else impairment.delay_s

    async def _start_processes(self, command: str) -> None:
        """Start every process and wait until all of them answer."""
        scenario = self.scenario
        limits = ProcessLimits(scenario.sockets)
        for name, address in self._addresses.items():
            member = self.fleet.add(
                name,
                command,
                self._relay_config(name, address),
                self._relay_environment(name, address),
                limits,
            )
            if scenario.passed_socket:
                member.passed_socket = socket.create_server((address, CLIENTS_PORT), backlog=CLIENTS_BACKLOG)
        for program in scenario.program:
            for number, name in enumerate(program.names):
                self._add_program(program, number, name, limits)
        self._report_progress(
            f"starting {scenario.relays} relays at {self._address_pool.first_address} and on"
        )
        for link in self._udp_links:
            await link.start()
        members = list(self.fleet.members.values())
        for member in members:
            await self.fleet.start(member)
        await asyncio.gather(*(self.fleet.wait_ready(member, self._is_answering) for member in members))

    def _add_program(self, program: Program, number: int, name: str, limits: ProcessLimits) -> None:
        """Add a further process with its links, and write its configuration with their addresses."""
        address = self._program_addresses[name]
        member = self.fleet.add(name, "", {}, {}, limits)
        for called, port in linked_ports_in(program.config):
            self._link_to_port(program, name, called, port)
        text = LINK_PLACEHOLDER.sub(
            lambda match: "{}:{}".format(*self._links[name, f"{match[1]}:{match[2]}"].address), program.config
        )
        text = ADDRESS_PLACEHOLDER.sub(lambda match: f"{self._program_addresses[match[1]]}:{match[2]}", text)
        text = PEERS_PLACEHOLDER.sub(
            lambda match: self._peer_lines(program, name, match[1], int(match[2])), text
        )
        for placeholder, value in (
            ("address", address),
            ("number", str(number)),
            ("state", str(member.state_folder)),
        ):
            text = text.replace(f"{{{placeholder}}}", value)
        path = member.folder / "config.toml"
        path.write_text(text, encoding="utf-8")
        member.command = f"{module_command(program.module)} {shlex.quote(str(path))}"
        self._program_ports[name] = program.ports[0]

    def _link_to_port(self, program: Program, name: str, called: str, port: int) -> Address:
        """Return the address of the link from a process to another one's port; add the link if it is missing.

        A program that sends datagrams also gets a UDP link at the same address.
        """
        if (link := self._links.get((name, f"{called}:{port}"))) is None:
            target = partial(
                fixed_address, self._program_addresses.get(called) or self._addresses[called], port
            )
            link = self._add_link(name, f"{called}:{port}", target, self._program_addresses[name])
            link.open()
            if program.datagrams:
                listen_address, number = link.address, len(self._udp_links)
                udp_link = UdpLink(
                    name, f"{called}:{port}", target, listen_host=listen_address[0],
                    source_host=self._program_addresses[name],
                    seed=self.seed * SEED_STRIDE + SEED_STRIDE // 2 + number,
                )  # fmt: skip
                udp_link.port = listen_address[1]
                self._udp_links.append(udp_link)
        return link.address

    def _peer_lines(self, program: Program, name: str, kind: str, port: int) -> str:
        """Return a line of TOML for each other process of a program.

        It gives the process's own address, and the address at which ``name`` reaches it.
        """
        others = [other for item in self.scenario.program if item.name == kind for other in item.names]
        return "\n".join(
            '"{}:{}" = "{}:{}"'.format(
                self._program_addresses[other], port, *self._link_to_port(program, name, other, port)
            )
            for other in others
            if other != name
        )

    def _relay_environment(self, name: str, address: str) -> dict[str, str]:
        """Return the environment variables of a relay."""
        discovery = "{}:{}".format(*self._links[name, "platform"].address)
        bug = {"PLAIN_BUG": self.scenario.bug} if self.scenario.bug else {}
        return bug | {
            "ROUTER_NAME": name,
            "ROUTER_LISTEN": f"{address}:{CLIENTS_PORT}",
            "ROUTER_ADMIN": f"{address}:{ADMIN_PORT}",
            "ROUTER_DISCOVERY": discovery,
        }

    def _relay_config(self, name: str, address: str) -> dict[str, Any]:
        """Return the contents of a relay's configuration file."""
        scenario, agent = self.scenario, self.platform.agents[name]
        entries = list(self.platform.state.entries.values())
        return {
            "name": name,
            "listen": f"{address}:{CLIENTS_PORT}",
            "discovery": "{}:{}".format(*self._links[name, "platform"].address),
            "seed": f"{self.seed & 0xFFFFFFFF:08x}{self.scenario.relay_names.index(name):04x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": scenario.memory_mb,
                "sockets": scenario.sockets,
                "disk_mb": scenario.disk_mb,
            },
            "known": msgspec.json.decode(agent.encode_update(entries, whole=True)),
            "settings": relay_settings(scenario) | {"my_number": scenario.relay_names.index(name)},
        }

    def _store_known_list(self, member: Member) -> None:
        """Configure the next life of a relay with the endpoint list that its agent sent last."""
        if member.name in self._addresses and (last_list := self.platform.agents[member.name].last_sent_list):
            member.config |= {"known": msgspec.json.decode(last_list)}

    async def _is_answering(self, member: Member) -> bool:
        """Return whether a process is ready: a relay replies to ``PING``, a program accepts connections.

        Both are asked at their own address, not through a link.
        """
        with suppress(OSError, TimeoutError):
            if member.name in self._program_addresses:
                _, writer = await asyncio.open_connection(
                    self._program_addresses[member.name], self._program_ports[member.name]
                )
                writer.close()
                return True
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self._addresses[member.name], CLIENTS_PORT)
                try:
                    writer.write(encode_command(b"PING"))
                    return await reader.readline() == b"+PONG\r\n"
                finally:
                    writer.close()
        return False

    def _on_ready(self, name: str) -> None:
        """Let clients reach a relay that is ready."""
        if name in self._addresses:
            self.load_balancer.mark_ready(name)
            self._links["clients", name].open()

    def _on_exit(self, name: str) -> None:
        """Refuse new connections to a relay whose process has ended."""
        if name in self._addresses:
            self.load_balancer.mark_lost(name, self._clock.now())
            self._links["clients", name].close()

    async def _run_load(self) -> None:
        """Play load and faults, then wait until every message has ended or its time is over."""
        scenario = self.scenario
        messages = clients.draw_messages(
            scenario.load, scenario.classes, scenario.tenants,
            [destination.spec.dest for destination in self.destinations],
            seconds=scenario.seconds, seed=self.seed,
        )  # fmt: skip
        self.history.begin_load(self._clock.now())
        self._clock.restart()
        self._spawn(self._measure_lag())
        for scheduled in self._scheduled_faults:
            for name, at_s in scheduled.target_times:
                self._spawn(self._play_fault(scheduled, name, at_s))
        self._report_progress(
            f"{len(messages)} messages in {scenario.seconds:.0f} s, {len(self._scheduled_faults)} faults"
        )
        await self.clients.submit_all(messages)
        await asyncio.sleep(max(0.0, scenario.seconds - self._clock.now()))
        self.history(records.Phase(self._clock.now(), "rest"))
        end_s = self._clock.now() + max(cls.deadline_s for cls in scenario.classes) + END_GRACE_S
        while (
            (self.clients.is_submitting or self.clients.accepted)
            and self._clock.now() < end_s
            and not self._errors
        ):
            await asyncio.sleep(0.05)
        self.history(records.Phase(self._clock.now(), "over"))

    async def _record_relay_figures(self) -> None:
        """Record figures of each relay's cost page at the end of the run.

        The two counts of open calls may differ while a step of the relay runs, so that they are read again
        until they agree.
        """
        for name, address in self._addresses.items():
            member = self.fleet.members[name]
            if not (member.is_alive and member.is_ready):
                continue
            port = int(member.environment["ROUTER_ADMIN"].rpartition(":")[2])
            until_s, figures = self._clock.now() + COUNTS_AGREE_S, dict[str, float]()
            while True:
                figures = await read_costs(address, port)
                is_settled = figures.get(NETWORK_CALLS_FIGURE) == figures.get(MODULE_CALLS_FIGURE)
                if is_settled or self._clock.now() > until_s:
                    break
                await asyncio.sleep(LAG_PERIOD_S)
            recorded = {figure: figures[figure] for figure in RECORDED_FIGURES if figure in figures}
            self.history(records.Measured(self._clock.now(), name, recorded))

    def _record_program_files(self) -> None:
        """Add to the history what programs recorded themselves.

        Their times are of the monotonic clock, which all processes of a machine share.
        """
        for member in self.fleet.members.values():
            for path in sorted(member.state_folder.glob(f"{FIGURES_PREFIX}-*.json")):
                figures = msgspec.json.decode(path.read_bytes(), type=dict[str, float])
                self.history(records.Measured(self._clock.now(), member.name, figures))
        for member in self.fleet.members.values():
            for view in read_json_lines(member.state_folder / TRACE_FILE, ViewChange):
                at_s = view.at_s - self._clock.start_s
                self.history(
                    records.Viewed(at_s, member.name, view.generation, view.name, view.state, view.by)
                )
        for member in self.fleet.members.values():
            for act in read_json_lines(member.state_folder / ACTS_FILE, Act):
                at_s = act.at_s - self._clock.start_s
                self.history(
                    records.Acted(at_s, act.resource, act.lease, act.holder, act.token, act.admitted)
                )

    async def _measure_lag(self) -> None:
        """Record how late the lab's own event loop is."""
        while True:
            due_s = self._clock.now() + LAG_PERIOD_S
            await asyncio.sleep(LAG_PERIOD_S)
            late_s = self._clock.now() - due_s
            if late_s > MIN_NOTED_LAG_S:
                self.history(records.Lag(self._clock.now(), round(late_s, 4)))

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Keep the error of a task that failed, for ``play`` to raise."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._errors.append(error)

    async def _play_fault(self, scheduled: ScheduledFault, name: str, at_s: float) -> None:
        """Wait for the time of a fault on one target, then play it until it ends."""
        await asyncio.sleep(max(0.0, at_s - self._clock.now()))
        fault = scheduled.fault
        self._record_fault(scheduled, name, "begin")
        if fault.kind in LINK_FAULTS:
            await self._apply_link_fault(scheduled, name)
        elif fault.kind in PARTNER_FAULTS:
            await self._apply_partner_fault(fault, name)
        elif fault.kind in PLATFORM_FAULTS:
            await self._apply_platform_fault(fault)
        else:
            await self._process_faults.play(
                fault, self.fleet.members[name], partial(self._wait_fault_duration, fault)
            )
        self._record_fault(scheduled, name, "end")

    def _record_fault(self, scheduled: ScheduledFault, name: str, phase: str) -> None:
        """Record the beginning or the end of a fault on a target."""
        now_s = self._clock.now()
        self.history(
            records.Fault(
                now_s,
                scheduled.number,
                scheduled.fault.kind,
                phase,
                [name],
                describe_fault(scheduled.fault),
                scheduled.fault.to,
            )
        )
        self._report_progress(f"{now_s:6.1f} s  {describe_fault(scheduled.fault)}: {name} {phase}s")

    @staticmethod
    async def _wait_fault_duration(fault: Fault) -> None:
        """Wait as long as a fault lasts; one without ``for_s`` lasts until the end of the run."""
        if fault.for_s is None:
            await asyncio.get_running_loop().create_future()
        else:
            await asyncio.sleep(fault.for_s)

    @property
    def _all_links(self) -> list[TcpLink | UdpLink]:
        return [*self._links.values(), *self._udp_links]

    def _links_between(self, name: str, others: list[str]) -> Iterable[TcpLink | UdpLink]:
        """Yield the links between a process and others, or all its links if no others are named."""
        for link in self._all_links:
            caller, called = link.caller, link.called.partition(":")[0]
            if name not in (caller, called):
                continue
            other = called if caller == name else caller
            names = {other, self._group_word(other)}
            if not others or names & set(others):
                yield link

    def _group_word(self, name: str) -> str:
        """Return the word by which scenarios name all of a kind: partners, relays, or the name itself."""
        if name in self.endpoints:
            return "partners"
        return "relays" if name in self._addresses else name

    async def _apply_link_fault(self, scheduled: ScheduledFault, name: str) -> None:
        """Reset or impair the links of a process until the fault ends."""
        fault = scheduled.fault
        links = list(self._links_between(name, fault.to))
        if fault.kind == "reset":
            for link in links:
                if isinstance(link, TcpLink):
                    link.reset()
            return
        impairment = Impairment(
            cut=fault.kind == "cut", delay_s=fault.delay_ms / 1000, jitter_s=fault.jitter_ms / 1000,
            bytes_per_s=fault.bytes_per_s, lost=fault.lost, doubled=fault.doubled, reordered=fault.reordered,
        )  # fmt: skip
        number = scheduled.number * SEED_STRIDE + stable_hash(name)
        for link in links:
            # A fault's direction is seen from its target, a link's from its caller: turn it around where the
            # target is the called side, as a relay is for its clients.
            link.apply(
                number,
                impairment,
                opposite_direction(fault.direction) if link.caller != name else fault.direction,
            )
        try:
            await self._wait_fault_duration(fault)
        finally:
            for link in links:
                link.remove(number)

    async def _apply_partner_fault(self, fault: Fault, host: str) -> None:
        """Play a fault on an endpoint until it ends, then restore what was before."""
        endpoint = self.endpoints[host]
        endpoint_faults, destination = endpoint.destination.faults_by_host[host], endpoint.destination
        if fault.kind == "partner-down":
            endpoint.go_down()
            links = [link for (_, called), link in self._links.items() if called == host]
            for link in links:
                link.reset()
                link.close()
            await self._wait_fault_duration(fault)
            await endpoint.come_back()
            for link in links:
                link.open()
        elif fault.kind == "partner-shut":
            endpoint.shut(self._clock.now() + (fault.for_s or 0.0))
            await self._wait_fault_duration(fault)
            endpoint.reopen()
        elif fault.kind == "drain":
            self.platform.change_health(host, "DRAINING")
            await self._wait_fault_duration(fault)
            self.platform.change_health(host, "SERVING")
        elif fault.kind == "partner-limit":
            limit_before_per_s, destination.limit_per_s = (
                destination.limit_per_s,
                (destination.limit_per_s or destination.spec.warm_capacity_per_s) * fault.share,
            )
            await self._wait_fault_duration(fault)
            destination.limit_per_s = limit_before_per_s
        else:
            faults_before = (
                endpoint_faults.slowdown,
                endpoint_faults.failure_share,
                endpoint_faults.hang_share,
                endpoint_faults.endless_share,
            )
            endpoint_faults.slowdown = max(endpoint_faults.slowdown, fault.times)
            if fault.kind == "partner-fail":
                endpoint_faults.failure_share = max(endpoint_faults.failure_share, fault.share)
            if fault.kind == "partner-hang":
                endpoint_faults.hang_share = max(endpoint_faults.hang_share, fault.share or 1.0)
            if fault.kind == "partner-endless":
                endpoint_faults.endless_share = max(endpoint_faults.endless_share, fault.share)
            await self._wait_fault_duration(fault)
            (
                endpoint_faults.slowdown,
                endpoint_faults.failure_share,
                endpoint_faults.hang_share,
                endpoint_faults.endless_share,
            ) = faults_before

    async def _apply_platform_fault(self, fault: Fault) -> None:
        """Play a fault of discovery until it ends."""
        state = self.platform.state
        if fault.kind == "list-gone":
            self.platform.begin_outage()
            await self._wait_fault_duration(fault)
            self.platform.end_outage()
        elif fault.kind == "list-moved":
            await self._move_discovery()
        elif fault.kind == "list-silent":
            self.platform.silence_watches()
        elif fault.kind == "list-crowded":
            state.active_rejections += 1
            await self._wait_fault_duration(fault)
            state.active_rejections -= 1
        else:
            state.publish_delay_s += fault.late_s
            await self._wait_fault_duration(fault)
            state.publish_delay_s -= fault.late_s

    async def _move_discovery(self) -> None:
        """Move discovery to new addresses.

        Relays learn theirs from their configuration files and SIGHUP; the variables of later processes still
        name the first address. The old addresses refuse connections, and reset the open ones after
        ``OLD_DISCOVERY_CLOSE_S``.
        """
        moved = []
        for name, address in self._addresses.items():
            moved.append(self._links.pop((name, "platform")))
            agent = self.platform.agents[name]
            self._add_link(name, "platform", agent.listener.address, address).open()
            member = self.fleet.members[name]
            discovery = "{}:{}".format(*self._links[name, "platform"].address)
            member.config |= {"discovery": discovery}
        await asyncio.gather(*(self.fleet.reload(self.fleet.members[name]) for name in self._addresses))
        for link in moved:
            link.close()
        await asyncio.sleep(OLD_DISCOVERY_CLOSE_S)
        for link in moved:
            link.stop()

    async def _close(self) -> None:
        """Stop everything, and record the lab's own processor time and peak memory."""
        if hasattr(self, "fleet"):
            await self.fleet.stop()
        if hasattr(self, "clients"):
            self.clients.stop()
            self.platform.stop()
            for endpoint in self.endpoints.values():
                endpoint.stop()
        for link in self._all_links:
            link.stop()
        peak_mb = round(peak_memory_mb(os.getpid()), 1)
        self.history(records.Used(self._clock.now(), "lab", round(time.process_time(), 3), peak_mb))
        self.history.close()


def read_json_lines(path: Path, record_type: type[T]) -> Iterator[T]:
    """Yield the JSON lines of a file; skip a last line that its writer's end cut off."""
    if path.exists():
        for line in path.read_bytes().splitlines(keepends=True):
            if line.endswith(b"\n"):
                yield msgspec.json.decode(line, type=record_type)


def opposite_direction(direction: str) -> Any:
    """Return a direction as seen from the other end."""
    return {"forward": "back", "back": "forward"}.get(direction, "both")


def stable_hash(name: str) -> int:
    """Return a number below ``SEED_STRIDE`` for a name, the same in every process."""
    return sum((at + 1) * byte for at, byte in enumerate(name.encode())) % SEED_STRIDE


def fixed_address(host: str, port: int) -> Address:
    """Return an address; used as a link's target that does not change."""
    return host, port
