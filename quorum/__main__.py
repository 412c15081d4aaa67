"""``python -m quorum CONFIG`` runs a member; ``python -m quorum COMMAND CONFIG`` is for operators."""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Annotated

import msgspec
import structlog
import typer

from quorum import wire
from quorum.client import QuorumError, ask_member, find_leader, member_status, order_leader
from quorum.commands import run_command_line, stop_event
from quorum.config import load
from quorum.messages import Snapshot
from quorum.server import Server
from quorum.service_logging import configure_logging
from quorum.state_machine import prepare_restored_state
from quorum.store import StoreError, replace_file, restore
from tomlconfig import Address, ConfigError, parse_address

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
ConfigFile = Annotated[Path, typer.Argument(metavar="CONFIG", help="The TOML file of any member.")]
Json = Annotated[bool, typer.Option("--json", help="Print it as JSON.")]


async def serve(path: Path) -> None:
    """Run a member until SIGTERM or SIGINT; SIGHUP reloads the members' addresses."""
    stop = stop_event()
    server = Server(load(path))

    def reload() -> None:
        try:
            server.reload(load(path))
        except ConfigError as error:
            structlog.get_logger("quorum").error("not read again", why=str(error))

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
    await server.start()
    await stop.wait()
    await server.stop()


def member_addresses(path: Path) -> dict[str, Address]:
    """Return the members' addresses from a configuration file."""
    return {name: parse_address(text) for name, text in load(path).members.items()}


@app.command()
def run(config: Annotated[Path, typer.Argument(help="The member's TOML file.")]) -> None:
    """Run a member of a quorum that keeps leases."""
    configure_logging()
    asyncio.run(serve(config))


def format_health(health: wire.Health) -> str:
    """Describe a member's status in one line."""
    behind = ", ".join(f"{other} {lag}" for other, lag in sorted(health.lag.items()))
    turned = "; ".join(f"{other} does not listen: {why}" for other, why in sorted(health.turned.items()))
    return (
        f"{health.name}: {health.role} of term {health.term}, leader {health.leader or 'unknown'}, "
        f"commit {health.commit}, {health.leases} leases, members {' '.join(health.members)}"
        + (f", entries behind: {behind}" if behind else "")
        + (f", disk: {health.disk}" if health.disk else "")
        + (f", full: {' '.join(health.full)}" if health.full else "")
        + (f", {turned}" if turned else "")
    )


async def print_status(members: dict[str, Address], as_json: bool) -> bool:
    """Print a line for each member; returns whether one of those that answer leads."""
    has_leader = False
    for name, address in sorted(members.items()):
        try:
            health = await member_status(address)
        except QuorumError as error:
            print(
                msgspec.json.encode({"name": name, "error": str(error)}).decode()
                if as_json
                else f"{name}: {error}"
            )
            continue
        has_leader |= health.role == "leader"
        print(msgspec.json.encode(health).decode() if as_json else format_health(health))
    return has_leader


@app.command(name="status")
def status_of_all(config: ConfigFile, as_json: Json = False) -> None:
    """Print a line for each member; the exit code is 1 if none of them leads."""
    raise typer.Exit(0 if asyncio.run(print_status(member_addresses(config), as_json)) else 1)


@app.command()
def leases(config: ConfigFile, as_json: Json = False) -> None:
    """Print all leases as the leader knows them: holder, token, time left, number of waiting requests."""

    async def ask() -> wire.ServerMessage:
        return await ask_member(await find_leader(member_addresses(config)), wire.Leases(1))

    listed = asyncio.run(ask())
    assert isinstance(listed, wire.Listed)
    if as_json:
        print(msgspec.json.encode(listed.leases).decode())
        return
    for line in listed.leases:
        holder = line.owner or "nobody (its delay runs)"
        left = f"{line.left_ms} of {line.ttl_ms} ms left"
        print(f"{line.name}: {holder}, token {line.token}, {left}, {line.waiting} wait")


@app.command(name="step-down")
def step_down(config: ConfigFile) -> None:
    """Transfer leadership to another member."""
    asyncio.run(order_leader(member_addresses(config), wire.StepDown(1)))


@app.command()
def add(config: ConfigFile, name: str) -> None:
    """Add a member, whose address has to be in all members' files already."""
    asyncio.run(order_leader(member_addresses(config), wire.Change(1, add=name)))


@app.command()
def remove(config: ConfigFile, name: str) -> None:
    """Remove a member."""
    asyncio.run(order_leader(member_addresses(config), wire.Change(1, remove=name)))


@app.command()
def snapshot(config: ConfigFile, file: Annotated[Path, typer.Argument(help="Where the copy goes.")]) -> None:
    """Write a copy of the state that the leader has applied to a file."""

    async def ask() -> wire.ServerMessage:
        return await ask_member(await find_leader(member_addresses(config)), wire.Copy(1), 10.0)

    copied = asyncio.run(ask())
    assert isinstance(copied, wire.Copied)
    with suppress(OSError):
        file.unlink()
    replace_file(file, msgspec.msgpack.encode(copied.snapshot))
    print(f"{file}: the state after entry {copied.snapshot.index}")


@app.command(name="restore")
def restore_folder(config: ConfigFile, file: Annotated[Path, typer.Argument(help="A copy.")]) -> None:
    """Create a member's folder from a copy; all members of a new quorum need the same copy.

    Before they start, the longest lease time in use has to have passed since the last old member stopped.
    """
    loaded = load(config)
    try:
        copy = msgspec.msgpack.decode(file.read_bytes(), type=Snapshot)
        data = prepare_restored_state(copy.data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{file}: no copy of a quorum: {error}") from None
    restore(Path(loaded.folder), Snapshot(copy.index, copy.term, loaded.initial_members, data))
    print(f"{loaded.folder}: begins after entry {copy.index}; members {' '.join(loaded.initial_members)}")


def main() -> int:
    """Run the command line; returns 2 for unusable input and 1 if a quorum does not do what was asked."""
    return run_command_line(app, "quorum", (ConfigError, StoreError, OSError))


if __name__ == "__main__":
    sys.exit(main())
