"""One run: a fleet, what surrounds it, the links between, its faults, and the history of it all."""

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
CLIENTS_BACKLOG = 1_024  # of a clients' socket that the platform holds
LAG_PERIOD_S, MIN_NOTED_LAG_S = 0.02, 0.03
OLD_DISCOVERY_CLOSE_S = (
    1.5  # s after which a discovery that has moved closes its open connections, as the terms say
)
RECORDED_FIGURES = (
    NETWORK_CALLS_FIGURE,
    MODULE_CALLS_FIGURE,
    "descriptors.open",
    "memory.resident_bytes",
)  # of relays, at the end
COUNTS_AGREE_S = 1.0  # s in which a relay's counts of its calls have to agree once at the end
END_GRACE_S = 1.0  # s after the last deadline when a run ends, whatever is still owed
FLUSH_BYTES = 64 * 1024
SEED_STRIDE = 65_536  # between the seeds of two runs' links
SOCKETS_PER_UDP_LINK = 2  # of a link that carries them, beside the one that listens
SPARE_DESCRIPTORS = 1_024  # of the lab, for what links carry and for its other sockets


class LabClock(Clock):
    """The run's clock; a caller's address is its relay's."""

    def __init__(self, relays: dict[str, str]) -> None:
        super().__init__()
        self._relay_by_address = relays

    def caller(self, peer: tuple[str, int]) -> tuple[str, str]:
        """The relay by its address."""
        relay = self._relay_by_address.get(peer[0], peer[0])
        return relay, f"{relay}:{peer[1]}"


class History:
    """The file that all records go to, in the order in which they were seen; the load begins at 0 s.

    What was seen before the load is written once that begins, at negative times.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb", buffering=FLUSH_BYTES)
        self._before_load: list[records.AnyRecord] = []  # seen before the load
        self._load_begun = False
        self.subscribers: list[Callable[[records.AnyRecord], None]] = []

    def __call__(self, record: records.AnyRecord) -> None:
        """Note a record, and tell those who follow the run."""
        if self._file.closed:
            return
        if self._load_begun:
            self._file.write(records.encode_line(record))
        else:
            self._before_load.append(record)
        for tap in self.subscribers:
            tap(record)

    def begin_load(self, at_s: float) -> None:
        """The load begins, so many seconds after the time from which records have counted so far."""
        for record in self._before_load:
            is_head = isinstance(record, records.Head)
            moved = record if is_head else msgspec.structs.replace(record, t=record.t - at_s)
            self._file.write(records.encode_line(moved))
        self._before_load.clear()
        self._load_begun = True
        self(records.Phase(0.0, "load"))

    def close(self) -> None:
        """Write out what is left; of a run that had no load, at the times as they were noted."""
        if not self._file.closed:
            self._file.writelines(map(records.encode_line, self._before_load))
        self._file.close()


def check_descriptors(scenario: Scenario) -> None:
    """Each link listens: ``FleetError`` where this process may not open as many sockets as the run has."""
    links, sockets = count_relay_links(scenario), 0
    for program in scenario.program:
        own = count_program_links(scenario, program)
        links += own
        sockets += own * SOCKETS_PER_UDP_LINK if program.datagrams else 0
    may = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if links + sockets + SPARE_DESCRIPTORS > may:
        others = f" and {len(scenario.program_names)} further processes" if scenario.program else ""
        datagrams = f" and {sockets} sockets for datagrams" if sockets else ""
        raise FleetError(
            f"{scenario.relays} relays{others} have {links} links{datagrams}; "
            f"this process may open {may} files"
        )


class Lab:
    """A run of a scenario; ``play`` leaves ``history.jsonl`` and each process's folder in ``out``."""

    def __init__(
        self, scenario: Scenario, seed: int, out: Path, faults: list[Fault], say: Callable[[str], None]
    ) -> None:
        self.scenario, self.seed, self.out, self._report_progress = scenario, seed, out, say
        self._scheduled_faults = number_faults(faults)
        self._links: dict[tuple[str, str], TcpLink] = {}
        self._udp_links: list[UdpLink] = []
        self._program_ports: dict[str, int] = {}  # of further processes: where each tells that it is ready
        self._tasks: set[asyncio.Task[None]] = set()
        self._errors: list[BaseException] = []

    async def play(self) -> None:
        """The whole run; ``FleetError`` where the fleet does not come up. No process is left behind."""
        self.out.mkdir(parents=True, exist_ok=True)
        command = (
            deploy_command() if self.scenario.relay == "run" else module_command("fleetlab.scripted_relay")
        )
        check_descriptors(self.scenario)
        self._address_pool = places = Addresses()
        names = self.scenario.relay_names
        self._addresses = {name: places.process_address(at) for at, name in enumerate(names)}
        self._relay_by_address = {address: name for name, address in self._addresses.items()}
        others = self.scenario.program_names
        self._program_addresses = {
            name: places.process_address(len(names) + at) for at, name in enumerate(others)
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
            places.close()
        if self._errors:
            raise self._errors[0]

    def _create_surroundings(self) -> None:
        """Partners, platform, clients and links, none of them open yet."""
        scenario, clock, sink = self.scenario, self._clock, self.history
        plan = msgspec.to_builtins(scenario)
        owners = {host: partner.dest for partner in scenario.partners for host in partner.hosts}
        sink(records.Head(0.0, plan["about"], self.seed, scenario.relay_names, owners, plan))
        self.destinations = [DestinationModel(partner) for partner in scenario.partners]
        self.endpoints = {
            host: Endpoint(
                site,
                host,
                address=self._address_pool.address_at(SERVERS_INDEX),
                sink=sink,
                clock=clock,
                seed=self.seed * 1009 + number,
            )
            for number, (site, host) in enumerate((s, h) for s in self.destinations for h in s.spec.hosts)
        }
        self.platform = Platform(sink, clock, self._dial, self._platform_delay_s)
        for site in self.destinations:
            for host in site.spec.hosts:
                self.platform.add_entry(EndpointEntry(host, site.spec.zone, site.spec.kind, site.spec.dest))
        parts = clients.draw_relay_shares(scenario.relays, scenario.load.uneven, self.seed)
        names = scenario.relay_names
        self.load_balancer = clients.LoadBalancer(
            dict(zip(names, parts, strict=True)), scenario.load.front_learns_s
        )
        self.clients = clients.Clients(
            scenario.load, scenario.classes, front=self.load_balancer, sink=sink, clock=clock,
            reach=lambda relay: self._links["clients", relay].address, prefix=f"{self.seed & 0xFFFFFFFF:08x}",
        )  # fmt: skip
        sink.subscribers.append(self._on_record)
        self.fleet = Fleet(self.out / "processes", clock.now, sink, self._on_exit, self._on_ready)
        self._process_faults = ProcessFaults(
            self.fleet, self._addresses, clients=self._address_pool.address_at(CLIENTS_INDEX), answers=self._is_answering,
            restarting=self._store_known_list,
        )  # fmt: skip

    def _on_record(self, record: records.AnyRecord) -> None:
        """Clients learn of the ends of their messages."""
        if isinstance(record, records.Noticed):
            self.clients.message_ended(record.ref, record.result, record.wait_ms)
        elif isinstance(record, records.Reply):
            for ref, end in zip(record.refs, record.ends, strict=True):
                if end == "delivered":
                    self.clients.message_ended(ref, end)

    def _add_link(self, caller: str, called: str, target: Callable[[], Address], source: str) -> TcpLink:
        def ended(conn: str) -> None:
            self.history(records.Gone(self._clock.now(), conn))

        def opened(conn: str) -> None:
            self.history(records.Opened(self._clock.now(), conn))

        told = {} if caller == "clients" else {"gone": ended, "came": opened}
        link = TcpLink(
            caller, called, target, near=self._address_pool.link_address(len(self._links)), source=source,
            seed=self.seed * SEED_STRIDE + len(self._links), **told,
        )  # fmt: skip
        self._links[caller, called] = link
        return link

    async def _open_endpoints_and_links(self) -> None:
        """Every listening socket, then every link."""
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
        return "{}:{}".format(*self._links[relay, host].address)

    def _platform_delay_s(self, relay: str) -> float | None:
        flow = self._links[relay, "platform"].back.impairment
        return None if flow.cut else flow.delay_s

    async def _start_processes(self, command: str) -> None:
        """Every process, until all of them answer."""
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
        """A further process: its links, and its configuration with their addresses."""
        address = self._program_addresses[name]
        member = self.fleet.add(name, "", {}, {}, limits)
        for called, port in linked_ports_in(program.config):
            self._link_to_port(program, name, called, port)
        text = LINK_PLACEHOLDER.sub(
            lambda found: "{}:{}".format(*self._links[name, f"{found[1]}:{found[2]}"].address), program.config
        )
        text = ADDRESS_PLACEHOLDER.sub(lambda found: f"{self._program_addresses[found[1]]}:{found[2]}", text)
        text = PEERS_PLACEHOLDER.sub(
            lambda found: self._peer_lines(program, name, found[1], int(found[2])), text
        )
        for word, value in (
            ("address", address),
            ("number", str(number)),
            ("state", str(member.state_folder)),
        ):
            text = text.replace(f"{{{word}}}", value)
        path = member.folder / "config.toml"
        path.write_text(text, encoding="utf-8")
        member.command = f"{module_command(program.module)} {shlex.quote(str(path))}"
        self._program_ports[name] = program.ports[0]

    def _link_to_port(self, program: Program, name: str, called: str, port: int) -> Address:
        """Where a process reaches another's port: a link, with one for datagrams where it sends any."""
        if (link := self._links.get((name, f"{called}:{port}"))) is None:
            target = partial(
                fixed_address, self._program_addresses.get(called) or self._addresses[called], port
            )
            link = self._add_link(name, f"{called}:{port}", target, self._program_addresses[name])
            link.open()
            if program.datagrams:
                near, number = link.address, len(self._udp_links)
                beside = UdpLink(
                    name, f"{called}:{port}", target, near=near[0], source=self._program_addresses[name],
                    seed=self.seed * SEED_STRIDE + SEED_STRIDE // 2 + number,
                )  # fmt: skip
                beside.port = near[1]
                self._udp_links.append(beside)
        return link.address

    def _peer_lines(self, program: Program, name: str, kind: str, port: int) -> str:
        """A line for each other process of a kind: its own address, and where this one reaches it."""
        others = [other for item in self.scenario.program if item.name == kind for other in item.names]
        return "\n".join(
            '"{}:{}" = "{}:{}"'.format(
                self._program_addresses[other], port, *self._link_to_port(program, name, other, port)
            )
            for other in others
            if other != name
        )

    def _relay_environment(self, name: str, address: str) -> dict[str, str]:
        """A relay's variables."""
        discovery = "{}:{}".format(*self._links[name, "platform"].address)
        more = {"PLAIN_BUG": self.scenario.bug} if self.scenario.bug else {}
        return more | {
            "ROUTER_NAME": name,
            "ROUTER_LISTEN": f"{address}:{CLIENTS_PORT}",
            "ROUTER_ADMIN": f"{address}:{ADMIN_PORT}",
            "ROUTER_DISCOVERY": discovery,
        }

    def _relay_config(self, name: str, address: str) -> dict[str, Any]:
        """A relay's configuration file."""
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
        """Configure the next life of a relay with the list as it had it last."""
        if member.name in self._addresses and (had := self.platform.agents[member.name].last_sent_list):
            member.config |= {"known": msgspec.json.decode(had)}

    async def _is_answering(self, member: Member) -> bool:
        """Whether a relay replies to ``PING``, asked at its own address; a program, whether it listens."""
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
        """A relay answers: clients can reach it."""
        if name in self._addresses:
            self.load_balancer.mark_ready(name)
            self._links["clients", name].open()

    def _on_exit(self, name: str) -> None:
        """A relay's process has ended: new connections are refused."""
        if name in self._addresses:
            self.load_balancer.mark_lost(name, self._clock.now())
            self._links["clients", name].close()

    async def _run_load(self) -> None:
        """The load with the faults, then rest until nothing is owed."""
        scenario = self.scenario
        messages = clients.draw_messages(
            scenario.load, scenario.classes, scenario.tenants, [site.spec.dest for site in self.destinations],
            seconds=scenario.seconds, seed=self.seed,
        )  # fmt: skip
        self.history.begin_load(self._clock.now())
        self._clock.restart()
        self._spawn(self._measure_lag())
        for item in self._scheduled_faults:
            for name, at_s in item.target_times:
                self._spawn(self._play_fault(item, name, at_s))
        self._report_progress(
            f"{len(messages)} messages in {scenario.seconds:.0f} s, {len(self._scheduled_faults)} faults"
        )
        await self.clients.submit_all(messages)
        await asyncio.sleep(max(0.0, scenario.seconds - self._clock.now()))
        self.history(records.Phase(self._clock.now(), "rest"))
        last_s = self._clock.now() + max(cls.deadline_s for cls in scenario.classes) + END_GRACE_S
        while (
            (self.clients.is_submitting or self.clients.accepted)
            and self._clock.now() < last_s
            and not self._errors
        ):
            await asyncio.sleep(0.05)
        self.history(records.Phase(self._clock.now(), "over"))

    async def _record_relay_figures(self) -> None:
        """What each relay's ledger tells at the end; calls may be counted apart for the time of a step."""
        for name, address in self._addresses.items():
            member = self.fleet.members[name]
            if not (member.is_alive and member.is_ready):
                continue
            port = int(member.environment["ROUTER_ADMIN"].rpartition(":")[2])
            until_s, figures = self._clock.now() + COUNTS_AGREE_S, dict[str, float]()
            while True:
                figures = await read_costs(address, port)
                settled = figures.get(NETWORK_CALLS_FIGURE) == figures.get(MODULE_CALLS_FIGURE)
                if settled or self._clock.now() > until_s:
                    break
                await asyncio.sleep(LAG_PERIOD_S)
            kept = {figure: figures[figure] for figure in RECORDED_FIGURES if figure in figures}
            self.history(records.Measured(self._clock.now(), name, kept))

    def _record_program_files(self) -> None:
        """What programs noted by themselves, on the clock that all processes of a machine share."""
        for member in self.fleet.members.values():
            for path in sorted(member.state_folder.glob(f"{FIGURES_PREFIX}-*.json")):
                figures = msgspec.json.decode(path.read_bytes(), type=dict[str, float])
                self.history(records.Measured(self._clock.now(), member.name, figures))
        for member in self.fleet.members.values():
            for seen in read_json_lines(member.state_folder / TRACE_FILE, ViewChange):
                at_s = seen.at_s - self._clock.start_s
                self.history(
                    records.Viewed(at_s, member.name, seen.generation, seen.name, seen.state, seen.by)
                )
        for member in self.fleet.members.values():
            for act in read_json_lines(member.state_folder / ACTS_FILE, Act):
                at_s = act.at_s - self._clock.start_s
                self.history(
                    records.Acted(at_s, act.resource, act.lease, act.holder, act.token, act.admitted)
                )

    async def _measure_lag(self) -> None:
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
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._errors.append(error)

    async def _play_fault(self, item: ScheduledFault, name: str, at_s: float) -> None:
        """One fault on one target, from its time on until it ends."""
        await asyncio.sleep(max(0.0, at_s - self._clock.now()))
        fault = item.fault
        self._record_fault(item, name, "begin")
        if fault.kind in LINK_FAULTS:
            await self._apply_link_fault(item, name)
        elif fault.kind in PARTNER_FAULTS:
            await self._apply_partner_fault(fault, name)
        elif fault.kind in PLATFORM_FAULTS:
            await self._apply_platform_fault(fault)
        else:
            await self._process_faults.play(
                fault, self.fleet.members[name], partial(self._wait_fault_duration, fault)
            )
        self._record_fault(item, name, "end")

    def _record_fault(self, item: ScheduledFault, name: str, phase: str) -> None:
        now_s = self._clock.now()
        self.history(
            records.Fault(
                now_s, item.number, item.fault.kind, phase, [name], describe_fault(item.fault), item.fault.to
            )
        )
        self._report_progress(f"{now_s:6.1f} s  {describe_fault(item.fault)}: {name} {phase}s")

    @staticmethod
    async def _wait_fault_duration(fault: Fault) -> None:
        """Wait for a fault's time; one without lasts until the run is over."""
        if fault.for_s is None:
            await asyncio.get_running_loop().create_future()
        else:
            await asyncio.sleep(fault.for_s)

    @property
    def _all_links(self) -> list[TcpLink | UdpLink]:
        return [*self._links.values(), *self._udp_links]

    def _links_between(self, name: str, others: list[str]) -> Iterable[TcpLink | UdpLink]:
        """The links between a process and others; with none named all of its links."""
        for link in self._all_links:
            caller, called = link.caller, link.called.partition(":")[0]
            if name not in (caller, called):
                continue
            other = called if caller == name else caller
            words = {other, self._group_word(other)}
            if not others or words & set(others):
                yield link

    def _group_word(self, name: str) -> str:
        """The word that stands for all of a name's kind."""
        if name in self.endpoints:
            return "partners"
        return "relays" if name in self._addresses else name

    async def _apply_link_fault(self, item: ScheduledFault, name: str) -> None:
        fault = item.fault
        some = list(self._links_between(name, fault.to))
        if fault.kind == "reset":
            for link in some:
                if isinstance(link, TcpLink):
                    link.reset()
            return
        condition = Impairment(
            cut=fault.kind == "cut", delay_s=fault.delay_ms / 1000, jitter_s=fault.jitter_ms / 1000,
            bytes_per_s=fault.bytes_per_s, lost=fault.lost, doubled=fault.doubled, reordered=fault.reordered,
        )  # fmt: skip
        number = item.number * SEED_STRIDE + stable_hash(name)
        for link in some:
            # A relay is called by its clients and calls everybody else: from it is forward for the others.
            link.apply(
                number,
                condition,
                opposite_direction(fault.direction) if link.caller != name else fault.direction,
            )
        try:
            await self._wait_fault_duration(fault)
        finally:
            for link in some:
                link.remove(number)

    async def _apply_partner_fault(self, fault: Fault, host: str) -> None:
        endpoint = self.endpoints[host]
        trouble, site = endpoint.destination.faults_by_host[host], endpoint.destination
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
        elif fault.kind == "drain":
            self.platform.change_health(host, "DRAINING")
            await self._wait_fault_duration(fault)
            self.platform.change_health(host, "SERVING")
        elif fault.kind == "partner-limit":
            before, site.limit_per_s = (
                site.limit_per_s,
                (site.limit_per_s or site.spec.warm_capacity_per_s) * fault.share,
            )
            await self._wait_fault_duration(fault)
            site.limit_per_s = before
        else:
            before_trouble = (trouble.slowdown, trouble.failure_share, trouble.hang_share)
            trouble.slowdown = max(trouble.slowdown, fault.times)
            if fault.kind == "partner-fail":
                trouble.failure_share = max(trouble.failure_share, fault.share)
            if fault.kind == "partner-hang":
                trouble.hang_share = max(trouble.hang_share, fault.share or 1.0)
            await self._wait_fault_duration(fault)
            trouble.slowdown, trouble.failure_share, trouble.hang_share = before_trouble

    async def _apply_platform_fault(self, fault: Fault) -> None:
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
        """Discovery gets another address: relays are told by file and SIGHUP, the old one ends its calls."""
        moved = []
        for name, address in self._addresses.items():
            moved.append(self._links.pop((name, "platform")))
            agent = self.platform.agents[name]
            self._add_link(name, "platform", agent.listener.address, address).open()
            member = self.fleet.members[name]
            where = "{}:{}".format(*self._links[name, "platform"].address)
            member.config |= {"discovery": where}
            member.environment |= {"ROUTER_DISCOVERY": where}
        await asyncio.gather(*(self.fleet.reload(self.fleet.members[name]) for name in self._addresses))
        for link in moved:
            link.close()
        await asyncio.sleep(OLD_DISCOVERY_CLOSE_S)
        for link in moved:
            link.stop()

    async def _close(self) -> None:
        """End everything, and note what it used."""
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


def read_json_lines(path: Path, kind: type[T]) -> Iterator[T]:
    """What a program wrote down in JSON lines; the last one may be torn by its end."""
    if path.exists():
        for line in path.read_bytes().splitlines(keepends=True):
            if line.endswith(b"\n"):
                yield msgspec.json.decode(line, type=kind)


def opposite_direction(direction: str) -> Any:
    """A direction from the other end."""
    return {"forward": "back", "back": "forward"}.get(direction, "both")


def stable_hash(name: str) -> int:
    """A small number for a name, the same in every process."""
    return sum((at + 1) * byte for at, byte in enumerate(name.encode())) % SEED_STRIDE


def fixed_address(host: str, port: int) -> Address:
    """An address that does not change."""
    return host, port
