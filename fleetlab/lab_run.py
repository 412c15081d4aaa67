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

from fleetlab.addresses import CLIENTS, SERVERS, Addresses
from fleetlab.admin_calls import costs_of
from fleetlab.checks.processes import CALLS_MODULE, CALLS_NETWORK
from fleetlab.fault_schedule import Planned, numbered, what
from fleetlab.fenced_counter import ACTS, Act
from fleetlab.fleet import Fleet, FleetError, Limits, Member, deploy_run, peak_memory_mb, python_run
from fleetlab.lease_load import FIGURES
from fleetlab.links import Address, Condition, TcpLink, UdpLink
from fleetlab.process_faults import ProcessFaults
from fleetlab.scenario import (
    ADMIN_PORT,
    AT,
    CLIENTS_PORT,
    LINK,
    ON_LINKS,
    ON_PARTNERS,
    ON_PLATFORM,
    REACH,
    Fault,
    Program,
    Scenario,
    links_of,
    links_of_program,
    links_of_relays,
)
from fleetlab.settings import settings
from membership.trace import TRACE_FILE, ViewChange
from standins import clients, records
from standins.partner import Clock, DestinationModel, Endpoint
from standins.platform import EndpointEntry, Platform
from standins.scripted import encode_command

T = TypeVar("T")
BACKLOG = 1_024  # of a clients' socket that the platform holds
TICK_S, NOTED_LAG_S = 0.02, 0.03
MOVED_S = 1.5  # s after which a discovery that has moved closes its open connections, as the terms say
KEPT_FIGURES = (
    CALLS_NETWORK,
    CALLS_MODULE,
    "descriptors.open",
    "memory.resident_bytes",
)  # of relays, at the end
SETTLE_S = 1.0  # s in which a relay's counts of its calls have to agree once at the end
REST_S = 1.0  # s after the last deadline when a run ends, whatever is still owed
FLUSH_BYTES = 64 * 1024
DISTINCT = 65_536  # between the seeds of two runs' links
SOCKETS_OF_DATAGRAMS = 2  # of a link that carries them, beside the one that listens
SPARE_DESCRIPTORS = 1_024  # of the lab, for what links carry and for its other sockets


class LabClock(Clock):
    """The run's clock; a caller's address is its relay's."""

    def __init__(self, relays: dict[str, str]) -> None:
        super().__init__()
        self._relays = relays

    def caller(self, peer: tuple[str, int]) -> tuple[str, str]:
        """The relay by its address."""
        relay = self._relays.get(peer[0], peer[0])
        return relay, f"{relay}:{peer[1]}"


class History:
    """The file that all records go to, in the order in which they were seen; the load begins at 0 s.

    What was seen before the load is written once that begins, at negative times.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb", buffering=FLUSH_BYTES)
        self._early: list[records.AnyRecord] = []  # seen before the load
        self._begun = False
        self.taps: list[Callable[[records.AnyRecord], None]] = []

    def __call__(self, record: records.AnyRecord) -> None:
        """Note a record, and tell those who follow the run."""
        if self._file.closed:
            return
        if self._begun:
            self._file.write(records.encode_line(record))
        else:
            self._early.append(record)
        for tap in self.taps:
            tap(record)

    def begin_load(self, at_s: float) -> None:
        """The load begins, so many seconds after the time from which records have counted so far."""
        for record in self._early:
            is_head = isinstance(record, records.Head)
            moved = record if is_head else msgspec.structs.replace(record, t=record.t - at_s)
            self._file.write(records.encode_line(moved))
        self._early.clear()
        self._begun = True
        self(records.Phase(0.0, "load"))

    def close(self) -> None:
        """Write out what is left; of a run that had no load, at the times as they were noted."""
        if not self._file.closed:
            self._file.writelines(map(records.encode_line, self._early))
        self._file.close()


def check_descriptors(scenario: Scenario) -> None:
    """Each link listens: ``FleetError`` where this process may not open as many sockets as the run has."""
    links, sockets = links_of_relays(scenario), 0
    for program in scenario.program:
        own = links_of_program(scenario, program)
        links += own
        sockets += own * SOCKETS_OF_DATAGRAMS if program.datagrams else 0
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
        self.scenario, self.seed, self.out, self._say = scenario, seed, out, say
        self._planned = numbered(faults)
        self._links: dict[tuple[str, str], TcpLink] = {}
        self._datagrams: list[UdpLink] = []
        self._ports: dict[str, int] = {}  # of further processes: where each tells that it is ready
        self._tasks: set[asyncio.Task[None]] = set()
        self._broken: list[BaseException] = []

    async def play(self) -> None:
        """The whole run; ``FleetError`` where the fleet does not come up. No process is left behind."""
        self.out.mkdir(parents=True, exist_ok=True)
        command = deploy_run() if self.scenario.relay == "run" else python_run("fleetlab.scripted_relay")
        check_descriptors(self.scenario)
        self._places = places = Addresses()
        names = self.scenario.relay_names
        self._addresses = {name: places.process(at) for at, name in enumerate(names)}
        self._names = {address: name for name, address in self._addresses.items()}
        others = self.scenario.program_names
        self._others = {name: places.process(len(names) + at) for at, name in enumerate(others)}
        self._clock = LabClock(self._names)
        self.history = History(self.out / "history.jsonl")
        try:
            self._surround()
            await self._open()
            await self._start(command)
            await self._load()
            await self._take_figures()
            self._take_notes()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await self._close()
            places.close()
        if self._broken:
            raise self._broken[0]

    def _surround(self) -> None:
        """Partners, platform, clients and links, none of them open yet."""
        scenario, clock, sink = self.scenario, self._clock, self.history
        plan = msgspec.to_builtins(scenario)
        owners = {host: partner.dest for partner in scenario.partners for host in partner.hosts}
        sink(records.Head(0.0, plan["about"], self.seed, scenario.relay_names, owners, plan))
        self.sites = [DestinationModel(partner) for partner in scenario.partners]
        self.endpoints = {
            host: Endpoint(
                site,
                host,
                address=self._places.at(SERVERS),
                sink=sink,
                clock=clock,
                seed=self.seed * 1009 + number,
            )
            for number, (site, host) in enumerate((s, h) for s in self.sites for h in s.spec.hosts)
        }
        self.platform = Platform(sink, clock, self._dial, self._reaches)
        for site in self.sites:
            for host in site.spec.hosts:
                self.platform.add_entry(EndpointEntry(host, site.spec.zone, site.spec.kind, site.spec.dest))
        parts = clients.draw_relay_shares(scenario.relays, scenario.load.uneven, self.seed)
        names = scenario.relay_names
        self.front = clients.LoadBalancer(dict(zip(names, parts, strict=True)), scenario.load.front_learns_s)
        self.clients = clients.Clients(
            scenario.load, scenario.classes, front=self.front, sink=sink, clock=clock,
            reach=lambda relay: self._links["clients", relay].address, prefix=f"{self.seed & 0xFFFFFFFF:08x}",
        )  # fmt: skip
        sink.taps.append(self._seen)
        self.fleet = Fleet(self.out / "processes", clock.now, sink, self._gone, self._up)
        self._process_faults = ProcessFaults(
            self.fleet, self._addresses, clients=self._places.at(CLIENTS), answers=self._answers,
            restarting=self._tell_known_list,
        )  # fmt: skip

    def _seen(self, record: records.AnyRecord) -> None:
        """Clients learn of the ends of their messages."""
        if isinstance(record, records.Noticed):
            self.clients.message_ended(record.ref, record.result, record.wait_ms)
        elif isinstance(record, records.Reply):
            for ref, end in zip(record.refs, record.ends, strict=True):
                if end == "delivered":
                    self.clients.message_ended(ref, end)

    def _link(self, caller: str, called: str, target: Callable[[], Address], source: str) -> TcpLink:
        def ended(conn: str) -> None:
            self.history(records.Gone(self._clock.now(), conn))

        def opened(conn: str) -> None:
            self.history(records.Opened(self._clock.now(), conn))

        told = {} if caller == "clients" else {"gone": ended, "came": opened}
        link = TcpLink(
            caller, called, target, near=self._places.link(len(self._links)), source=source,
            seed=self.seed * DISTINCT + len(self._links), **told,
        )  # fmt: skip
        self._links[caller, called] = link
        return link

    async def _open(self) -> None:
        """Every listening socket, then every link."""
        for endpoint in self.endpoints.values():
            await endpoint.start()
        for name, address in self._addresses.items():
            agent = await self.platform.start_agent(name, self._places.at(SERVERS))
            self._link("clients", name, partial(at, address, CLIENTS_PORT), self._places.at(CLIENTS))
            self._link(name, "platform", agent.listener.address, address).open()
            for host, endpoint in self.endpoints.items():
                self._link(name, host, endpoint.listener.address, address).open()

    def _dial(self, relay: str, host: str) -> str:
        return "{}:{}".format(*self._links[relay, host].address)

    def _reaches(self, relay: str) -> float | None:
        flow = self._links[relay, "platform"].back.now
        return None if flow.cut else flow.delay_s

    async def _start(self, command: str) -> None:
        """Every process, until all of them answer."""
        scenario = self.scenario
        limits = Limits(scenario.sockets)
        for name, address in self._addresses.items():
            member = self.fleet.add(
                name, command, self._config(name, address), self._told(name, address), limits
            )
            if scenario.passed_socket:
                member.listening = socket.create_server((address, CLIENTS_PORT), backlog=BACKLOG)
        for program in scenario.program:
            for number, name in enumerate(program.names):
                self._add_program(program, number, name, limits)
        self._say(f"starting {scenario.relays} relays at {self._places.name} and on")
        for link in self._datagrams:
            await link.start()
        members = list(self.fleet.members.values())
        for member in members:
            await self.fleet.start(member)
        await asyncio.gather(*(self.fleet.until_ready(member, self._answers) for member in members))

    def _add_program(self, program: Program, number: int, name: str, limits: Limits) -> None:
        """A further process: its links, and its configuration with their addresses."""
        address = self._others[name]
        member = self.fleet.add(name, "", {}, {}, limits)
        for called, port in links_of(program.config):
            self._reach(program, name, called, port)
        text = LINK.sub(
            lambda found: "{}:{}".format(*self._links[name, f"{found[1]}:{found[2]}"].address), program.config
        )
        text = AT.sub(lambda found: f"{self._others[found[1]]}:{found[2]}", text)
        text = REACH.sub(lambda found: self._reaches_of(program, name, found[1], int(found[2])), text)
        for word, value in (("address", address), ("number", str(number)), ("state", str(member.state))):
            text = text.replace(f"{{{word}}}", value)
        path = member.folder / "config.toml"
        path.write_text(text, encoding="utf-8")
        member.command = f"{python_run(program.module)} {shlex.quote(str(path))}"
        self._ports[name] = program.ports[0]

    def _reach(self, program: Program, name: str, called: str, port: int) -> Address:
        """Where a process reaches another's port: a link, with one for datagrams where it sends any."""
        if (link := self._links.get((name, f"{called}:{port}"))) is None:
            target = partial(at, self._others.get(called) or self._addresses[called], port)
            link = self._link(name, f"{called}:{port}", target, self._others[name])
            link.open()
            if program.datagrams:
                near, number = link.address, len(self._datagrams)
                beside = UdpLink(
                    name, f"{called}:{port}", target, near=near[0], source=self._others[name],
                    seed=self.seed * DISTINCT + DISTINCT // 2 + number,
                )  # fmt: skip
                beside.port = near[1]
                self._datagrams.append(beside)
        return link.address

    def _reaches_of(self, program: Program, name: str, kind: str, port: int) -> str:
        """A line for each other process of a kind: its own address, and where this one reaches it."""
        others = [other for item in self.scenario.program if item.name == kind for other in item.names]
        return "\n".join(
            '"{}:{}" = "{}:{}"'.format(self._others[other], port, *self._reach(program, name, other, port))
            for other in others
            if other != name
        )

    def _told(self, name: str, address: str) -> dict[str, str]:
        """A relay's variables."""
        discovery = "{}:{}".format(*self._links[name, "platform"].address)
        more = {"PLAIN_BUG": self.scenario.bug} if self.scenario.bug else {}
        return more | {
            "ROUTER_NAME": name,
            "ROUTER_LISTEN": f"{address}:{CLIENTS_PORT}",
            "ROUTER_ADMIN": f"{address}:{ADMIN_PORT}",
            "ROUTER_DISCOVERY": discovery,
        }

    def _config(self, name: str, address: str) -> dict[str, Any]:
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
            "settings": settings(scenario) | {"my_number": scenario.relay_names.index(name)},
        }

    def _tell_known_list(self, member: Member) -> None:
        """Configure the next life of a relay with the list as it had it last."""
        if member.name in self._addresses and (had := self.platform.agents[member.name].last_sent_list):
            member.config |= {"known": msgspec.json.decode(had)}

    async def _answers(self, member: Member) -> bool:
        """Whether a relay replies to ``PING``, asked at its own address; a program, whether it listens."""
        with suppress(OSError, TimeoutError):
            if member.name in self._others:
                _, writer = await asyncio.open_connection(self._others[member.name], self._ports[member.name])
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

    def _up(self, name: str) -> None:
        """A relay answers: clients can reach it."""
        if name in self._addresses:
            self.front.mark_ready(name)
            self._links["clients", name].open()

    def _gone(self, name: str) -> None:
        """A relay's process has ended: new connections are refused."""
        if name in self._addresses:
            self.front.mark_lost(name, self._clock.now())
            self._links["clients", name].close()

    async def _load(self) -> None:
        """The load with the faults, then rest until nothing is owed."""
        scenario = self.scenario
        messages = clients.draw_messages(
            scenario.load, scenario.classes, scenario.tenants, [site.spec.dest for site in self.sites],
            seconds=scenario.seconds, seed=self.seed,
        )  # fmt: skip
        self.history.begin_load(self._clock.now())
        self._clock.restart()
        self._spawn(self._measure_lag())
        for item in self._planned:
            for name, at_s in item.on:
                self._spawn(self._fault(item, name, at_s))
        self._say(f"{len(messages)} messages in {scenario.seconds:.0f} s, {len(self._planned)} faults")
        await self.clients.submit_all(messages)
        await asyncio.sleep(max(0.0, scenario.seconds - self._clock.now()))
        self.history(records.Phase(self._clock.now(), "rest"))
        last_s = self._clock.now() + max(cls.deadline_s for cls in scenario.classes) + REST_S
        while (
            (self.clients.is_submitting or self.clients.accepted)
            and self._clock.now() < last_s
            and not self._broken
        ):
            await asyncio.sleep(0.05)
        self.history(records.Phase(self._clock.now(), "over"))

    async def _take_figures(self) -> None:
        """What each relay's ledger tells at the end; calls may be counted apart for the time of a step."""
        for name, address in self._addresses.items():
            member = self.fleet.members[name]
            if not (member.alive and member.ready):
                continue
            port = int(member.environment["ROUTER_ADMIN"].rpartition(":")[2])
            until_s, figures = self._clock.now() + SETTLE_S, dict[str, float]()
            while True:
                figures = await costs_of(address, port)
                settled = figures.get(CALLS_NETWORK) == figures.get(CALLS_MODULE)
                if settled or self._clock.now() > until_s:
                    break
                await asyncio.sleep(TICK_S)
            kept = {figure: figures[figure] for figure in KEPT_FIGURES if figure in figures}
            self.history(records.Measured(self._clock.now(), name, kept))

    def _take_notes(self) -> None:
        """What programs noted by themselves, on the clock that all processes of a machine share."""
        for member in self.fleet.members.values():
            for path in sorted(member.state.glob(f"{FIGURES}-*.json")):
                figures = msgspec.json.decode(path.read_bytes(), type=dict[str, float])
                self.history(records.Measured(self._clock.now(), member.name, figures))
        for member in self.fleet.members.values():
            for seen in lines_of(member.state / TRACE_FILE, ViewChange):
                at_s = seen.at_s - self._clock.start_s
                self.history(
                    records.Viewed(at_s, member.name, seen.generation, seen.name, seen.state, seen.by)
                )
        for member in self.fleet.members.values():
            for act in lines_of(member.state / ACTS, Act):
                at_s = act.at_s - self._clock.start_s
                self.history(
                    records.Acted(at_s, act.resource, act.lease, act.holder, act.token, act.admitted)
                )

    async def _measure_lag(self) -> None:
        while True:
            due_s = self._clock.now() + TICK_S
            await asyncio.sleep(TICK_S)
            late_s = self._clock.now() - due_s
            if late_s > NOTED_LAG_S:
                self.history(records.Lag(self._clock.now(), round(late_s, 4)))

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._broken.append(error)

    async def _fault(self, item: Planned, name: str, at_s: float) -> None:
        """One fault on one target, from its time on until it ends."""
        await asyncio.sleep(max(0.0, at_s - self._clock.now()))
        fault = item.fault
        self._note(item, name, "begin")
        if fault.kind in ON_LINKS:
            await self._on_links(item, name)
        elif fault.kind in ON_PARTNERS:
            await self._on_partner(fault, name)
        elif fault.kind in ON_PLATFORM:
            await self._on_platform(fault)
        else:
            await self._process_faults.play(fault, self.fleet.members[name], partial(self._last, fault))
        self._note(item, name, "end")

    def _note(self, item: Planned, name: str, phase: str) -> None:
        now_s = self._clock.now()
        self.history(
            records.Fault(now_s, item.number, item.fault.kind, phase, [name], what(item.fault), item.fault.to)
        )
        self._say(f"{now_s:6.1f} s  {what(item.fault)}: {name} {phase}s")

    @staticmethod
    async def _last(fault: Fault) -> None:
        """Wait for a fault's time; one without lasts until the run is over."""
        if fault.for_s is None:
            await asyncio.get_running_loop().create_future()
        else:
            await asyncio.sleep(fault.for_s)

    @property
    def _all_links(self) -> list[TcpLink | UdpLink]:
        return [*self._links.values(), *self._datagrams]

    def _met(self, name: str, others: list[str]) -> Iterable[TcpLink | UdpLink]:
        """The links between a process and others; with none named all of its links."""
        for link in self._all_links:
            caller, called = link.caller, link.called.partition(":")[0]
            if name not in (caller, called):
                continue
            other = called if caller == name else caller
            words = {other, self._group(other)}
            if not others or words & set(others):
                yield link

    def _group(self, name: str) -> str:
        """The word that stands for all of a name's kind."""
        if name in self.endpoints:
            return "partners"
        return "relays" if name in self._addresses else name

    async def _on_links(self, item: Planned, name: str) -> None:
        fault = item.fault
        some = list(self._met(name, fault.to))
        if fault.kind == "reset":
            for link in some:
                if isinstance(link, TcpLink):
                    link.reset()
            return
        condition = Condition(
            cut=fault.kind == "cut", delay_s=fault.delay_ms / 1000, jitter_s=fault.jitter_ms / 1000,
            bytes_per_s=fault.bytes_per_s, lost=fault.lost, doubled=fault.doubled, reordered=fault.reordered,
        )  # fmt: skip
        number = item.number * DISTINCT + hash_of(name)
        for link in some:
            # A relay is called by its clients and calls everybody else: from it is forward for the others.
            link.apply(number, condition, turned(fault.direction) if link.caller != name else fault.direction)
        try:
            await self._last(fault)
        finally:
            for link in some:
                link.lift(number)

    async def _on_partner(self, fault: Fault, host: str) -> None:
        endpoint = self.endpoints[host]
        trouble, site = endpoint.destination.faults_by_host[host], endpoint.destination
        if fault.kind == "partner-down":
            endpoint.go_down()
            links = [link for (_, called), link in self._links.items() if called == host]
            for link in links:
                link.reset()
                link.close()
            await self._last(fault)
            await endpoint.come_back()
            for link in links:
                link.open()
        elif fault.kind == "drain":
            self.platform.change_health(host, "DRAINING")
            await self._last(fault)
            self.platform.change_health(host, "SERVING")
        elif fault.kind == "partner-limit":
            before, site.limit_per_s = (
                site.limit_per_s,
                (site.limit_per_s or site.spec.warm_capacity_per_s) * fault.share,
            )
            await self._last(fault)
            site.limit_per_s = before
        else:
            before_trouble = (trouble.slowdown, trouble.failure_share, trouble.hang_share)
            trouble.slowdown = max(trouble.slowdown, fault.times)
            if fault.kind == "partner-fail":
                trouble.failure_share = max(trouble.failure_share, fault.share)
            if fault.kind == "partner-hang":
                trouble.hang_share = max(trouble.hang_share, fault.share or 1.0)
            await self._last(fault)
            trouble.slowdown, trouble.failure_share, trouble.hang_share = before_trouble

    async def _on_platform(self, fault: Fault) -> None:
        state = self.platform.state
        if fault.kind == "list-gone":
            self.platform.begin_outage()
            await self._last(fault)
            self.platform.end_outage()
        elif fault.kind == "list-moved":
            await self._move_platform()
        elif fault.kind == "list-silent":
            self.platform.silence_watches()
        elif fault.kind == "list-crowded":
            state.active_rejections += 1
            await self._last(fault)
            state.active_rejections -= 1
        else:
            state.publish_delay_s += fault.late_s
            await self._last(fault)
            state.publish_delay_s -= fault.late_s

    async def _move_platform(self) -> None:
        """Discovery gets another address: relays are told by file and SIGHUP, the old one ends its calls."""
        moved = []
        for name, address in self._addresses.items():
            moved.append(self._links.pop((name, "platform")))
            agent = self.platform.agents[name]
            self._link(name, "platform", agent.listener.address, address).open()
            member = self.fleet.members[name]
            where = "{}:{}".format(*self._links[name, "platform"].address)
            member.config |= {"discovery": where}
            member.environment |= {"ROUTER_DISCOVERY": where}
        await asyncio.gather(*(self.fleet.reload(self.fleet.members[name]) for name in self._addresses))
        for link in moved:
            link.close()
        await asyncio.sleep(MOVED_S)
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


def lines_of(path: Path, kind: type[T]) -> Iterator[T]:
    """What a program wrote down in JSON lines; the last one may be torn by its end."""
    if path.exists():
        for line in path.read_bytes().splitlines(keepends=True):
            if line.endswith(b"\n"):
                yield msgspec.json.decode(line, type=kind)


def turned(direction: str) -> Any:
    """A direction from the other end."""
    return {"forward": "back", "back": "forward"}.get(direction, "both")


def hash_of(name: str) -> int:
    """A small number for a name, the same in every process."""
    return sum((at + 1) * byte for at, byte in enumerate(name.encode())) % DISTINCT


def at(host: str, port: int) -> Address:
    """An address that does not change."""
    return host, port
