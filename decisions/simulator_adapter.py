"""Adapter for the simulator: translates its text frames to events, and the engine's actions back to lines.

It makes no decisions. One process hosts any number of relays, which share nothing but the parser.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from typing import IO, TypeVar

from decisions import interface as api
from decisions.engine import DecisionEngine

Fields = dict[str, str]
T = TypeVar("T")

VERDICTS = {
    "OK": api.Verdict.OK,
    "INTERNAL": api.Verdict.ERROR,
    "RESOURCE_EXHAUSTED": api.Verdict.FULL,
    "DEADLINE_EXCEEDED": api.Verdict.TIMEOUT,
    "UNAVAILABLE": api.Verdict.CONNECT_FAILED,
    "ABORTED": api.Verdict.RESET,
    "CANCELLED": api.Verdict.CANCELLED,
    "TOO_LATE": api.Verdict.NOT_SENT,
}
UPDATE_KINDS = {
    "0": api.EndpointUpdateKind.CHANGES,
    "1": api.EndpointUpdateKind.WHOLE,
    "2": api.EndpointUpdateKind.CACHED,
    "3": api.EndpointUpdateKind.FAILED,
}
LISTINGS = {"0": api.Listing.GONE, "1": api.Listing.READY, "2": api.Listing.DRAINING}
MAX_TABLE_REF = 15  # host lists are numbered from 0


class MalformedLineError(ValueError):
    """A line that the protocol does not allow."""


def parse_fields(text: str) -> Fields:
    """Parse ``name=value`` pairs separated by blanks; a part without ``=`` or a name is malformed."""
    pairs: Fields = {}
    for part in text.split():
        name, sign, value = part.partition("=")
        if not sign or not name:
            raise MalformedLineError(f"not a name=value pair: {part!r}")
        pairs[name] = value
    return pairs


def required_value(pairs: Fields, name: str) -> str:
    """The value of a field that must be present and not empty."""
    if not pairs.get(name):
        raise MalformedLineError(f"missing {name}")
    return pairs[name]


def parse_int(pairs: Fields, name: str, default: int | None = None) -> int:
    """An integer; the default if the field is absent and has one."""
    text = pairs.get(name)
    if text is None and default is not None:
        return default
    try:
        return int(required_value(pairs, name))
    except MalformedLineError:
        raise
    except ValueError:
        raise MalformedLineError(f"unreadable {name}: {text!r}") from None


def parse_float(pairs: Fields, name: str, default: float) -> float:
    """A number; the default if the field is absent."""
    text = pairs.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise MalformedLineError(f"unreadable {name}: {text!r}") from None


def parse_bool(pairs: Fields, name: str) -> bool:
    """A truth value; False if the field is absent."""
    text = pairs.get(name, "0")
    if text not in ("0", "1", "true", "false"):
        raise MalformedLineError(f"unreadable {name}: {text!r}")
    return text in ("1", "true")


def parse_choice(table: dict[str, T], pairs: Fields, name: str) -> T:
    """What ``table`` holds for the field's word; the field must be present and its word in the table."""
    word = required_value(pairs, name)
    if word not in table:
        raise MalformedLineError(f"unknown {name}: {word!r}")
    return table[word]


def split_list(pairs: Fields, name: str) -> list[str]:
    """A list separated by commas; empty if the field is absent."""
    text = pairs.get(name, "")
    return text.split(",") if text else []


def parse_float_list(pairs: Fields, name: str) -> list[float]:
    """A list of numbers separated by commas; empty if the field is absent."""
    try:
        return [float(text) for text in split_list(pairs, name)]
    except ValueError:
        raise MalformedLineError(f"unreadable {name}: {pairs[name]!r}") from None


def parse_message_class(pairs: Fields, number: int) -> api.MessageClass:
    """The message class with this number."""
    prefix = f"request_classes.{number}."
    word = required_value(pairs, prefix + "effect")
    if word not in ("safe", "keyed", "unsafe"):
        raise MalformedLineError(f"unknown {prefix}effect: {word!r}")
    return api.MessageClass(
        name=required_value(pairs, prefix + "name"),
        effect=api.Effect(word),
        aim_us=parse_int(pairs, prefix + "aim_us"),
        deadline_us=parse_int(pairs, prefix + "deadline_us"),
        worth=parse_float(pairs, prefix + "worth", 1.0),
        late_worth=parse_float(pairs, prefix + "late_worth", 0.0),
        key_window_us=parse_int(pairs, prefix + "dedup_window_us", 0),
        key_scope_is_zone=pairs.get(prefix + "key_scope", "all") != "all",
        ordered_by_key=parse_bool(pairs, prefix + "by_arrival"),
    )


def parse_settings(pairs: Fields) -> api.Settings:
    """The settings of one relay; unknown names are ignored."""
    apart, batch_sizes = (
        split_list(pairs, "domain.kind_apart"),
        parse_float_list(pairs, "domain.batch_by_kind"),
    )
    kinds = tuple(
        api.DestinationKind(
            name,
            apart[index : index + 1] == ["true"],
            int(batch_sizes[index]) if index < len(batch_sizes) else 1,
        )
        for index, name in enumerate(split_list(pairs, "machine_types"))
    )
    tenants = tuple(
        api.Tenant(
            required_value(pairs, f"accounts.{index}.name"),
            parse_float(pairs, f"accounts.{index}.quota_per_s", 0.0),
        )
        for index in range(parse_int(pairs, "accounts.count", 0))
    )
    classes = tuple(
        parse_message_class(pairs, index) for index in range(parse_int(pairs, "request_classes.count"))
    )
    fees = zip(split_list(pairs, "zones"), parse_float_list(pairs, "domain.toll"), strict=False)
    weights = pairs.get("weights", "off")
    return api.Settings(
        slots=parse_int(pairs, "domain.calls_out"),
        classes=classes,
        kinds=kinds,
        tenants=tenants,
        zone_fees=dict(fees),
        group_size=parse_int(pairs, "group_size", 1),
        number=parse_int(pairs, "my_number", 0),
        hold_cap=parse_int(pairs, "allowed.open_cap"),
        max_attempts=parse_int(pairs, "allowed.most_tries"),
        round_us=parse_int(pairs, "round_us"),
        keepalive_us=parse_int(pairs, "allowed.keepalive_us", 60_000_000),
        may_duplicate=parse_bool(pairs, "allowed.may_duplicate"),
        may_cancel=parse_bool(pairs, "allowed.cancel"),
        may_probe=parse_bool(pairs, "allowed.probes"),
        advise_retry=parse_bool(pairs, "allowed.retry_after"),
        max_retry_after_us=parse_int(pairs, "allowed.max_retry_after_us", 0),
        must_ask=pairs.get("discovery", "push") == "ask",
        list_pushed=pairs.get("discovery", "push") == "push",
        ask_within_us=parse_int(pairs, "rules.ask_within_us", 0),
        rate_hints_given=weights in ("nominal", "rough"),
        rate_hints_rough=weights == "rough",
        late_worth_halves=pairs.get("domain.decay", "line") == "halves",
        over_share_worth=parse_float(pairs, "over_share_worth", 1.0),
        drain_grace_us=parse_int(pairs, "rules.drain_grace_us"),
        fall_multiple=parse_float(pairs, "rules.fall_multiple", 1.0),
        fall_us=parse_int(pairs, "rules.fall_us"),
        cold_from=parse_float(pairs, "rules.cold_from", 1.0),
        warm_within_us=parse_int(pairs, "rules.warm_within_us"),
        answer_slack_us=parse_int(pairs, "rules.grace_to_answer_us", 0),
        order_pause_us=parse_int(pairs, "rules.order_pause_us", 0),
    )


def parse_entry(pairs: Fields) -> api.Entry:
    """One line of a host list."""
    return api.Entry(
        host=required_value(pairs, "host"),
        dest=parse_int(pairs, "dest"),
        zone=pairs.get("campus", ""),
        kind=pairs.get("hw", ""),
        listing=parse_choice(LISTINGS, pairs, "health"),
        rate_hint=parse_float(pairs, "power_hint", 1.0),
    )


def parse_load_report(pairs: Fields) -> dict[str, float]:
    """The values of a load report by name; those that are no numbers are left out, as if not reported."""
    report: dict[str, float] = {}
    for part in split_list(pairs, "pressure"):
        name, _, value = part.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return report


def parse_arrival(pairs: Fields) -> api.Arrival:
    """A message handed in by a client."""
    return api.Arrival(
        id=required_value(pairs, "xid"),
        dest=parse_int(pairs, "terminates_at"),
        cls=required_value(pairs, "tier_class"),
        time_left_us=parse_int(pairs, "grace_us"),
        tenant=pairs.get("account", ""),
        key=pairs.get("affinity", ""),
    )


def parse_outcome(pairs: Fields) -> api.Outcome:
    """The end of an attempt; ``detail`` of a refusal is the wait asked for, in milliseconds."""
    verdict, report = parse_choice(VERDICTS, pairs, "verdict"), parse_load_report(pairs)
    wait_ms = parse_int(pairs, "detail", 0) if verdict is api.Verdict.FULL else 0
    return api.Outcome(
        id=required_value(pairs, "xid"),
        attempt=parse_int(pairs, "trial"),
        host=required_value(pairs, "host"),
        verdict=verdict,
        elapsed_us=parse_int(pairs, "elapsed_us", 0),
        complete=parse_bool(pairs, "complete"),
        wait_us=wait_ms * 1000,
        limit_share_left=report.get("x0"),
        limit_per_s=report.get("x1"),
    )


def parse_probe_result(pairs: Fields) -> api.ProbeResult:
    """The end of a probe."""
    report = parse_load_report(pairs)
    return api.ProbeResult(
        host=required_value(pairs, "host"),
        verdict=parse_choice(VERDICTS, pairs, "verdict"),
        elapsed_us=parse_int(pairs, "elapsed_us", 0),
        limit_share_left=report.get("x0"),
        limit_per_s=report.get("x1"),
    )


def parse_timer(_pairs: Fields) -> api.TimerDue:
    """A wake-up; its label has no meaning."""
    return api.TimerDue()


def parse_withdrawn(pairs: Fields) -> api.Withdrawn:
    """A message that its client no longer wants."""
    return api.Withdrawn(required_value(pairs, "xid"))


EVENT_PARSERS: dict[str, Callable[[Fields], api.Event]] = {
    "new_request": parse_arrival,
    "report_back": parse_outcome,
    "check_result": parse_probe_result,
    "tick_due": parse_timer,
    "aborted": parse_withdrawn,
}
IGNORED_MESSAGES = ("established", "note_from")


def format_action(who: str, action: api.Action) -> str:
    """One action of the relay ``who`` as a line of the protocol."""
    match action:
        case api.Send(id=xid, host=host, timeout_us=limit):
            return f"try who={who} xid={xid} host={host} limit_us={limit}"
        case api.Refuse(id=xid, retry_after_us=after):
            return f"bounce who={who} xid={xid} hold_off_us={after}"
        case api.Fail(id=xid):
            return f"drop_request who={who} xid={xid}"
        case api.Cancel(id=xid, attempt=attempt):
            return f"recall who={who} xid={xid} trial={attempt}"
        case api.CloseIdle(host=host):
            return f"free_links who={who} host={host}"
        case api.Probe(host=host):
            return f"test who={who} host={host}"
        case api.Subscribe():
            return f"observe who={who} active=1"
        case api.Wake(delay_us=delay):
            return f"sleep who={who} wait_us={delay} label=wake"
        case api.Log(line=line):
            return f"log who={who} line={line}"


class FrameServer:
    """One process's conversation with the simulator: the relays that it hosts and the batch being read."""

    def __init__(self, lines: Iterator[str], out: IO[str]) -> None:
        """Read frames from ``lines`` and write replies to ``out``."""
        self._lines = lines
        self._out = out
        self._line_number = 0
        self._relays: dict[str, DecisionEngine] = {}
        self._tables: dict[int, tuple[api.Entry, ...]] = {}
        self._events: dict[str, list[api.Event]] = {}

    @property
    def line_number(self) -> int:
        """The number of the line read last, from 1."""
        return self._line_number

    def _next_line(self) -> str | None:
        """The next line without its line end, or None at the end of input."""
        line = next(self._lines, None)
        if line is None:
            return None
        self._line_number += 1
        return line.rstrip("\r\n")

    def _read_table(self, pairs: Fields) -> None:
        """Read a numbered host list and the lines that belong to it."""
        ref, entries = parse_int(pairs, "ref"), []
        if not 0 <= ref <= MAX_TABLE_REF:
            raise MalformedLineError(f"ref out of range: {ref}")
        for _ in range(parse_int(pairs, "hosts")):
            line = self._next_line()
            name, _, rest = (line or "").partition(" ")
            if name != "host":
                raise MalformedLineError("a host line is missing")
            entries.append(parse_entry(parse_fields(rest)))
        self._tables[ref] = tuple(entries)

    def _parse_endpoint_update(self, pairs: Fields) -> api.EndpointUpdate:
        """An update of the endpoint list, with the table that it names as it is at this line."""
        kind = parse_choice(UPDATE_KINDS, pairs, "form")
        if kind is api.EndpointUpdateKind.FAILED:
            return api.EndpointUpdate(kind)
        ref = parse_int(pairs, "ref", 0)
        if ref not in self._tables:
            raise MalformedLineError(f"no table {ref}")
        return api.EndpointUpdate(kind, self._tables[ref])

    def _start_relay(self, rest: str) -> str:
        """Start a relay anew with the settings in the rest of the line, and return its name."""
        pairs = parse_fields(rest)
        who, seed = required_value(pairs, "who"), parse_int(pairs, "init_seed")
        try:
            self._relays[who] = DecisionEngine(parse_settings(pairs), seed)
        except MalformedLineError:
            raise
        except ValueError as error:
            raise MalformedLineError(str(error)) from None
        self._events[who] = []
        return who

    def _read_event(self, line: str) -> None:
        """Process one line of a batch."""
        name, _, rest = line.partition(" ")
        if name == "init":
            self._start_relay(rest)
            return
        pairs = parse_fields(rest)
        if name == "table":
            self._read_table(pairs)
            return
        if name not in EVENT_PARSERS and name not in (*IGNORED_MESSAGES, "roster_change", "shutdown"):
            raise MalformedLineError(f"unknown message: {name!r}")
        who = required_value(pairs, "who")
        if name == "shutdown":
            self._relays.pop(who, None)
            self._events.pop(who, None)
            return
        batch = self._events.setdefault(who, [])
        if name == "roster_change":
            batch.append(self._parse_endpoint_update(pairs))
        elif name in EVENT_PARSERS:
            batch.append(EVENT_PARSERS[name](pairs))

    def _write_reply(self, now_us: int) -> None:
        """Run a step of every relay that had events, in order of their first ones, and write the actions."""
        lines: list[str] = []
        for who, events in self._events.items():
            relay = self._relays.get(who)
            if relay is None:
                continue
            try:
                lines += [format_action(who, action) for action in relay.step(now_us, events)]
            except Exception as error:  # the protocol asks for a line about a relay that crashed
                text = " ".join(f"{type(error).__name__}: {error}".split())
                lines.append(f"die who={who} line={text}")
        self._out.write("".join(f"{line}\n" for line in (*lines, "ok")))
        self._out.flush()

    def serve_frame(self) -> bool:
        """Read one batch and answer it; False at the end of input."""
        line = self._next_line()
        if line is None:
            return False
        if not line:
            return True
        name, _, rest = line.partition(" ")
        if name != "frame":
            raise MalformedLineError(f"expected a frame, got {name!r}")
        now_us = parse_int(parse_fields(rest), "at_time_us")
        self._events = {}
        while (line := self._next_line()) != "commit":
            if line is None:
                raise MalformedLineError("frame without commit")
            self._read_event(line)
        self._write_reply(now_us)
        return True


def main() -> int:
    """Serve standard input until its end; 2 after a line that cannot be read."""
    server = FrameServer(iter(sys.stdin), sys.stdout)
    try:
        while server.serve_frame():
            pass
    except MalformedLineError as error:
        print(f"line {server.line_number}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
