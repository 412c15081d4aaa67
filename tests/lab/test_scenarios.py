"""Scenario files: what is wrong is one line, what is right gives the same run each time."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from fleetlab import addresses, fault_schedule, lab_run, run_folders, scenario, templates
from fleetlab.fleet import FleetError
from fleetlab.scenario import Fault
from standins import clients
from standins.scripted import ROOT

GOOD = 'about = "x"\n'
KILL = '[[fault]]\nkind = "kill"\nat_s = 1\n'


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("about = ", "Invalid value"),
        ("seconds = 4", "about"),
        (GOOD + "speed = 1", "speed"),
        (GOOD + "relays = 0", "relays: 0"),
        (GOOD + "relays = 1025", "relays: 1025"),
        (GOOD + 'relays = "three"', "relays: "),
        (GOOD + "seconds = 1e9", "seconds"),
        (GOOD + "[load]\nper_s = -1", "load"),
        (GOOD + "[load]\nspeed = 1", "load: "),
        (GOOD + "partners = []", "partners"),
        (GOOD + "[[partners]]\ndest = 1\n[[partners]]\ndest = 1", "twice"),
        (GOOD + "[[partners]]\ndest = 1\nslots = 0", "partners[0]"),
        (GOOD + '[[fault]]\nkind = "explode"\nat_s = 1', "fault[0].kind"),
        (GOOD + '[[fault]]\nkind = "kill"\nat_s = 99', "fault[0].at_s: 99"),
        (GOOD + KILL + "for_s = 0", "fault[0].for_s: 0"),
        (GOOD + KILL + "part = 1.5", "fault[0].part: 1.5"),
        (GOOD + KILL + 'on = ["r7"]', "fault[0].on: 'r7'"),
        (GOOD + '[[fault]]\nkind = "cut"\nat_s = 1\nto = ["moon"]', "fault[0].to: 'moon'"),
        (GOOD + '[[fault]]\nkind = "pause"\nat_s = 1', "fault[0].for_s"),
        (GOOD + '[[fault]]\nkind = "slow"\nat_s = 1', "fault[0].share"),
        (GOOD + '[[fault]]\nkind = "crowd"\nat_s = 1', "fault[0].connections"),
        (GOOD + '[[fault]]\nkind = "replace"\nat_s = 1', "fault[0].kind: replace needs passed_socket"),
        (GOOD + '[[fault]]\nkind = "reload"\nat_s = 1\nrepeats = 0', "fault[0].gap_s, repeats, connections"),
        (GOOD + '[[fault]]\nkind = "terminate"\nat_s = 1\nsignals = ["KILL"]', "fault[0].signals"),
        (GOOD + '[[program]]\nuse = "moon"', "program[0].use: 'moon' is none of crowd, "),
        (GOOD + '[[program]]\nuse = "../kill-one"', "program[0].use: '../kill-one'"),
        (GOOD + '[[program]]\nuse = ["peer"]', "program[0].use: ['peer']"),
        (GOOD + '[[program]]\nuse = "peer"\nspeed = 1', "program[0]"),
    ],
)
def test_a_bad_scenario_is_one_line_with_file_and_key(tmp_path: Path, text: str, words: str) -> None:
    """And nothing is started."""
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(scenario.ScenarioError) as error:
        scenario.load(str(path))
    assert str(error.value).startswith("bad.toml: ")
    assert words in str(error.value)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("arguments", "word"),
    [
        (["run", "nothing"], "nothing.toml"),
        (["run", "calm", "--relays", "0"], "relays"),
        (["run", "calm", "--seed", "x"], "--seed"),
        (["run", "calm", "--out", "."], "holds no run"),
        (["check", "/nowhere"], "/nowhere"),
        (["explode"], "explode"),
    ],
)
def test_wrong_use_is_one_line_and_two(arguments: list[str], word: str) -> None:
    """Nothing is printed as a result."""
    command = [sys.executable, "-m", "fleetlab", *arguments]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert ended.returncode == 2
    assert ended.stdout == ""
    assert word in ended.stderr
    assert ended.stderr.count("\n") == 1


def test_the_projects_scenarios_can_be_read() -> None:
    """All of them, also with another number of relays."""
    assert {"calm", "kill-one"} <= set(scenario.scenario_names())
    for name in scenario.scenario_names():
        assert scenario.load(name).about
        assert scenario.load(name, relays=40).relays == 40


def test_a_program_takes_over_a_template_and_keeps_what_it_sets_itself() -> None:
    """The template's name, module, ports and configuration, and the scenario's own count and links."""
    text = GOOD + '[[program]]\nuse = "peer"\ncount = 3\ndatagrams = false'
    program = scenario.parse_scenario(text, "x").program[0]
    template = tomllib.loads((templates.TEMPLATE_FOLDER / "peer.toml").read_text())
    taken_over = (program.name, program.module, list(program.ports), program.config)
    assert taken_over == tuple(template[key] for key in ("name", "module", "ports", "config"))
    assert template["datagrams"]
    assert (program.count, program.datagrams) == (3, False)


def test_a_seed_gives_the_same_load_and_faults() -> None:
    """And another seed others."""
    text = GOOD + "seconds = 20\nrelays = 5\n[adversary]\nfaults = 12\n" + KILL + "part = 0.4"
    played = scenario.parse_scenario(text, "x")
    assert fault_schedule.schedule_faults(played, 5) == fault_schedule.schedule_faults(played, 5)
    assert fault_schedule.schedule_faults(played, 5) != fault_schedule.schedule_faults(played, 6)
    assert len(fault_schedule.schedule_faults(played, 5)) == 13
    assert len(fault_schedule.schedule_faults(played, 5)[0].on) == 2

    def load(seed: int) -> list[clients.Message]:
        return clients.draw_messages(
            played.load, played.classes, played.tenants, [1, 2], seconds=20, seed=seed
        )

    assert load(5) == load(5)
    assert load(5) != load(6)


def test_a_drawn_fault_could_stand_in_a_file() -> None:
    """Whatever the adversary draws keeps the schema's own rules."""
    played = scenario.parse_scenario(GOOD + "seconds = 20\n[adversary]\nfaults = 60", "x")
    for seed in range(20):
        faults = fault_schedule.schedule_faults(played, seed)
        lines = [
            "[[fault]]\n" + "".join(f"{key} = {toml(getattr(fault, key))}\n" for key in keys(fault))
            for fault in faults
        ]
        assert scenario.parse_scenario(GOOD + "seconds = 20\n" + "".join(lines), "x").fault == faults


def keys(fault: Fault) -> list[str]:
    """The keys of a fault that say something."""
    return [key for key in fault.__struct_fields__ if getattr(fault, key) is not None]


def toml(value: object) -> str:
    """A value as TOML writes it."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def test_shrinking_finds_the_two_faults_that_matter() -> None:
    """Of twenty, in fewer tries than their number squared, and never more than it may use."""
    faults = [Fault(kind="kill", at_s=float(number), on=["r0"]) for number in range(20)]
    tried = 0

    def fails(some: object) -> bool:
        nonlocal tried
        tried += 1
        assert isinstance(some, list)
        return faults[3] in some and faults[14] in some

    assert run_folders.minimize_faults(faults, fails, lambda: False) == [faults[3], faults[14]]
    assert tried < 60
    tried = 0
    rest = run_folders.minimize_faults(faults, fails, lambda: tried >= 4)
    assert {3.0, 14.0} <= {fault.at_s for fault in rest}
    assert tried <= 4


def test_the_front_learns_late_and_forgets_nobody() -> None:
    """A relay that died is used until the front knows, and again once it is ready."""
    front = clients.LoadBalancer({"r0": 0.5, "r1": 0.5}, detection_delay_s=2.0)
    assert front.choose_relay(0.2, 0.0) == "r0"
    front.mark_lost("r0", 10.0)
    assert front.choose_relay(0.2, 11.9) == "r0"
    assert front.choose_relay(0.2, 12.1) == "r1"
    front.mark_lost("r1", 10.0)
    assert front.choose_relay(0.2, 12.1) == "r0"  # nobody is left: where it would have gone
    front.mark_ready("r0")
    assert front.choose_relay(0.9, 12.1) == "r0"


def test_a_thousand_relays_and_servers_have_addresses_of_their_own() -> None:
    """Processes, links and the lab's own; beyond them the run says so."""
    held, other = addresses.Addresses(), addresses.Addresses()
    links = range(0, 1024 * 30, addresses.LINKS_PER_ADDRESS)
    found = [held.process_address(number) for number in range(scenario.MAX_PROCESSES)]
    found += [
        held.address_at(place)
        for place in (addresses.CLAIM_INDEX, addresses.CLIENTS_INDEX, addresses.SERVERS_INDEX)
    ]
    found += [held.link_address(number) for number in links]
    assert len(set(found)) == len(found)
    assert not set(found) & {other.process_address(number) for number in range(scenario.MAX_PROCESSES)}
    for place, beyond in ((held.process_address, addresses.ADDRESSES_PER_RUN), (held.link_address, 1 << 20)):
        with pytest.raises(ValueError, match="run has"):
            place(beyond)
    held.close()
    other.close()


def test_a_run_of_a_thousand_relays_and_servers_can_be_written_and_what_it_needs_is_told() -> None:
    """More links than this process may open sockets for are one line before anything starts."""
    partners = "".join(f"[[partners]]\ndest = {dest}\nendpoints = 16\n" for dest in range(1, 65))
    played = scenario.parse_scenario(GOOD + "relays = 1024\n" + partners, "x")
    assert len(played.relay_names) == len(played.hosts) == 1024
    with pytest.raises(FleetError, match=f"1024 relays have {1024 * 1026} links"):
        lab_run.check_descriptors(played)
    lab_run.check_descriptors(scenario.parse_scenario(GOOD + "relays = 3", "x"))


@pytest.mark.parametrize(
    ("programs", "links", "sockets"),
    [
        ('[[program]]\nuse = "peer"\ncount = 7', 7 * 6, 2 * 7 * 6),  # each reaches all others
        ('[[program]]\nuse = "quorum"\ncount = 3', 3 * 3, 0),  # each names all three
        ('[[program]]\nuse = "quorum"\ncount = 3\n[[program]]\nuse = "crowd"\ncount = 5', 3 * 3 + 5 * 3, 0),
    ],
)
def test_links_of_further_programs_count(
    monkeypatch: pytest.MonkeyPatch, programs: str, links: int, sockets: int
) -> None:
    """The run may begin with just the sockets that it needs, and with one less that is told."""
    played = scenario.parse_scenario(GOOD + "relays = 1\n" + programs, "x")
    links += 2 + len(played.hosts)
    need = links + sockets + lab_run.SPARE_DESCRIPTORS
    monkeypatch.setattr("resource.getrlimit", lambda _: (need, need))
    lab_run.check_descriptors(played)
    monkeypatch.setattr("resource.getrlimit", lambda _: (need - 1, need))
    with pytest.raises(FleetError, match=f"further processes have {links} links"):
        lab_run.check_descriptors(played)
