"""Scenario files: errors are one line, plans depend on file and seed alone, and what runs derive."""

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

MINIMAL = 'about = "x"\n'
KILL_FAULT = '[[fault]]\nkind = "kill"\nat_s = 1\n'


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("about = ", "Invalid value"),
        ("seconds = 4", "about"),
        (MINIMAL + "speed = 1", "speed"),
        (MINIMAL + "relays = 0", "relays: 0"),
        (MINIMAL + "relays = 1025", "relays: 1025"),
        (MINIMAL + 'relays = "three"', "relays: "),
        (MINIMAL + "seconds = 1e9", "seconds"),
        (MINIMAL + "[load]\nper_s = -1", "load"),
        (MINIMAL + "[load]\nspeed = 1", "load: "),
        (MINIMAL + "partners = []", "partners"),
        (MINIMAL + "[[partners]]\ndest = 1\n[[partners]]\ndest = 1", "twice"),
        (MINIMAL + "[[partners]]\ndest = 1\nslots = 0", "partners[0]"),
        (MINIMAL + '[[fault]]\nkind = "explode"\nat_s = 1', "fault[0].kind"),
        (MINIMAL + '[[fault]]\nkind = "kill"\nat_s = 99', "fault[0].at_s: 99"),
        (MINIMAL + KILL_FAULT + "for_s = 0", "fault[0].for_s: 0"),
        (MINIMAL + KILL_FAULT + "part = 1.5", "fault[0].part: 1.5"),
        (MINIMAL + KILL_FAULT + 'on = ["r7"]', "fault[0].on: 'r7'"),
        (MINIMAL + '[[fault]]\nkind = "cut"\nat_s = 1\nto = ["moon"]', "fault[0].to: 'moon'"),
        (MINIMAL + '[[fault]]\nkind = "pause"\nat_s = 1', "fault[0].for_s"),
        (MINIMAL + '[[fault]]\nkind = "slow"\nat_s = 1', "fault[0].share"),
        (MINIMAL + '[[fault]]\nkind = "crowd"\nat_s = 1', "fault[0].connections"),
        (MINIMAL + '[[fault]]\nkind = "replace"\nat_s = 1', "fault[0].kind: replace needs passed_socket"),
        (
            MINIMAL + '[[fault]]\nkind = "reload"\nat_s = 1\nrepeats = 0',
            "fault[0].gap_s, repeats, connections",
        ),
        (MINIMAL + '[[fault]]\nkind = "terminate"\nat_s = 1\nsignals = ["KILL"]', "fault[0].signals"),
        (MINIMAL + '[[program]]\nuse = "moon"', "program[0].use: 'moon' is none of crowd, "),
        (MINIMAL + '[[program]]\nuse = "../kill-one"', "program[0].use: '../kill-one'"),
        (MINIMAL + '[[program]]\nuse = ["peer"]', "program[0].use: ['peer']"),
        (MINIMAL + '[[program]]\nuse = "peer"\nspeed = 1', "program[0]"),
    ],
)
def test_a_bad_scenario_is_one_line_with_file_and_key(tmp_path: Path, text: str, expected: str) -> None:
    """The error names the file and the key or value that is wrong."""
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(scenario.ScenarioError) as error:
        scenario.load_scenario(str(path))
    assert str(error.value).startswith("bad.toml: ")
    assert expected in str(error.value)
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["run", "nothing"], "nothing.toml"),
        (["run", "calm", "--relays", "0"], "relays"),
        (["run", "calm", "--seed", "x"], "--seed"),
        (["run", "calm", "--out", "."], "holds no run"),
        (["check", "/nowhere"], "/nowhere"),
        (["explode"], "explode"),
    ],
)
def test_a_wrong_command_line_is_one_line_and_exit_code_two(arguments: list[str], expected: str) -> None:
    """The command line's errors are one line on standard error, nothing on standard output, exit code 2."""
    command = [sys.executable, "-m", "fleetlab", *arguments]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert process.returncode == 2
    assert process.stdout == ""
    assert expected in process.stderr
    assert process.stderr.count("\n") == 1


def test_the_projects_scenarios_can_be_read() -> None:
    """Every scenario of the project is valid, also with another number of relays."""
    assert {"calm", "kill-one"} <= set(scenario.scenario_names())
    for name in scenario.scenario_names():
        assert scenario.load_scenario(name).about
        assert scenario.load_scenario(name, relays=40).relays == 40


def test_a_program_takes_over_a_template_and_keeps_what_it_sets_itself() -> None:
    """It takes name, module, ports and configuration from the template, but not count and datagrams."""
    text = MINIMAL + '[[program]]\nuse = "peer"\ncount = 3\ndatagrams = false'
    program = scenario.parse_scenario(text, "x").program[0]
    template = tomllib.loads((templates.TEMPLATE_FOLDER / "peer.toml").read_text())
    taken_over = (program.name, program.module, list(program.ports), program.config)
    assert taken_over == tuple(template[key] for key in ("name", "module", "ports", "config"))
    assert template["datagrams"]
    assert (program.count, program.datagrams) == (3, False)


def test_a_seed_gives_the_same_load_and_faults() -> None:
    """Another seed gives another load and other faults."""
    text = MINIMAL + "seconds = 20\nrelays = 5\n[adversary]\nfaults = 12\n" + KILL_FAULT + "part = 0.4"
    parsed = scenario.parse_scenario(text, "x")
    assert fault_schedule.schedule_faults(parsed, 5) == fault_schedule.schedule_faults(parsed, 5)
    assert fault_schedule.schedule_faults(parsed, 5) != fault_schedule.schedule_faults(parsed, 6)
    assert len(fault_schedule.schedule_faults(parsed, 5)) == 13
    assert len(fault_schedule.schedule_faults(parsed, 5)[0].on) == 2

    def load(seed: int) -> list[clients.Message]:
        return clients.draw_messages(
            parsed.load, parsed.classes, parsed.tenants, [1, 2], seconds=20, seed=seed
        )

    assert load(5) == load(5)
    assert load(5) != load(6)


def test_a_drawn_fault_is_valid_in_a_file() -> None:
    """Faults that the adversary draws are valid in a scenario file and unchanged when read from it."""
    parsed = scenario.parse_scenario(MINIMAL + "seconds = 20\n[adversary]\nfaults = 60", "x")
    for seed in range(20):
        faults = fault_schedule.schedule_faults(parsed, seed)
        lines = [
            "[[fault]]\n" + "".join(f"{key} = {toml_value(getattr(fault, key))}\n" for key in set_keys(fault))
            for fault in faults
        ]
        assert scenario.parse_scenario(MINIMAL + "seconds = 20\n" + "".join(lines), "x").fault == faults


def set_keys(fault: Fault) -> list[str]:
    """The keys of a fault whose value is not None."""
    return [key for key in fault.__struct_fields__ if getattr(fault, key) is not None]


def toml_value(value: object) -> str:
    """A value in TOML's notation."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_value, value)) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def test_shrinking_finds_the_two_faults_that_matter() -> None:
    """It finds two of twenty faults in far fewer attempts than 20 squared, and stops when it is told to."""
    faults = [Fault(kind="kill", at_s=float(number), on=["r0"]) for number in range(20)]
    attempts = 0

    def still_fails(subset: object) -> bool:
        nonlocal attempts
        attempts += 1
        assert isinstance(subset, list)
        return faults[3] in subset and faults[14] in subset

    assert run_folders.minimize_faults(faults, still_fails, lambda: False) == [faults[3], faults[14]]
    assert attempts < 60
    attempts = 0
    reduced = run_folders.minimize_faults(faults, still_fails, lambda: attempts >= 4)
    assert {3.0, 14.0} <= {fault.at_s for fault in reduced}
    assert attempts <= 4


def test_the_load_balancer_detects_a_lost_relay_late_and_uses_it_again() -> None:
    """A relay that died is used until the load balancer detects it, and again once it is ready."""
    balancer = clients.LoadBalancer({"r0": 0.5, "r1": 0.5}, detection_delay_s=2.0)
    assert balancer.choose_relay(0.2, 0.0) == "r0"
    balancer.mark_lost("r0", 10.0)
    assert balancer.choose_relay(0.2, 11.9) == "r0"
    assert balancer.choose_relay(0.2, 12.1) == "r1"
    balancer.mark_lost("r1", 10.0)
    assert balancer.choose_relay(0.2, 12.1) == "r0"  # no relay is left: as if none were excluded
    balancer.mark_ready("r0")
    assert balancer.choose_relay(0.9, 12.1) == "r0"


def test_a_thousand_relays_and_servers_have_addresses_of_their_own() -> None:
    """Processes, links and the lab have different addresses; a number beyond the pool is an error."""
    pool, other_pool = addresses.Addresses(), addresses.Addresses()
    links = range(0, 1024 * 30, addresses.LINKS_PER_ADDRESS)
    assigned = [pool.process_address(number) for number in range(scenario.MAX_PROCESSES)]
    assigned += [
        pool.address_at(index)
        for index in (addresses.CLAIM_INDEX, addresses.CLIENTS_INDEX, addresses.SERVERS_INDEX)
    ]
    assigned += [pool.link_address(number) for number in links]
    assert len(set(assigned)) == len(assigned)
    assert not set(assigned) & {
        other_pool.process_address(number) for number in range(scenario.MAX_PROCESSES)
    }
    for address_at, number in (
        (pool.process_address, addresses.ADDRESSES_PER_RUN),
        (pool.link_address, 1 << 20),
    ):
        with pytest.raises(ValueError, match="run has"):
            address_at(number)
    pool.close()
    other_pool.close()


def test_a_scenario_of_a_thousand_relays_is_valid_and_reports_the_descriptors_it_needs() -> None:
    """More links than this process may open sockets for are an error before anything starts."""
    partners = "".join(f"[[partners]]\ndest = {dest}\nendpoints = 16\n" for dest in range(1, 65))
    parsed = scenario.parse_scenario(MINIMAL + "relays = 1024\n" + partners, "x")
    assert len(parsed.relay_names) == len(parsed.hosts) == 1024
    with pytest.raises(FleetError, match=f"1024 relays have {1024 * 1026} links"):
        lab_run.check_descriptors(parsed)
    lab_run.check_descriptors(scenario.parse_scenario(MINIMAL + "relays = 3", "x"))


@pytest.mark.parametrize(
    ("programs", "links", "sockets"),
    [
        ('[[program]]\nuse = "peer"\ncount = 7', 7 * 6, 2 * 7 * 6),  # each has links to all others
        ('[[program]]\nuse = "quorum"\ncount = 3', 3 * 3, 0),  # each has links to all three, itself included
        ('[[program]]\nuse = "quorum"\ncount = 3\n[[program]]\nuse = "crowd"\ncount = 5', 3 * 3 + 5 * 3, 0),
    ],
)
def test_links_of_further_programs_count(
    monkeypatch: pytest.MonkeyPatch, programs: str, links: int, sockets: int
) -> None:
    """A run may start with exactly the descriptors that it needs; with one less it is an error."""
    parsed = scenario.parse_scenario(MINIMAL + "relays = 1\n" + programs, "x")
    links += 2 + len(parsed.hosts)
    needed = links + sockets + lab_run.SPARE_DESCRIPTORS
    monkeypatch.setattr("resource.getrlimit", lambda _: (needed, needed))
    lab_run.check_descriptors(parsed)
    monkeypatch.setattr("resource.getrlimit", lambda _: (needed - 1, needed))
    with pytest.raises(FleetError, match=f"further processes have {links} links"):
        lab_run.check_descriptors(parsed)
