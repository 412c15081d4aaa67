"""The report of a run: one page that needs nothing else, made from its history alone."""

from __future__ import annotations

import base64
import io
from collections import Counter
from html import escape

import matplotlib as mpl
from hdrh.histogram import HdrHistogram
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from fleetlab.checks import Finding, Result, Run, outcome_of, partner_of

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MOST_MS = 120_000
FEW = 5  # relays that get a line each
MOST_SHOWN = 10  # findings of one checker
COLOURS = {"served": "#2a7f62", "refused": "#d9a441", "failed": "#b3402e", "lost": "#5b1a6b"}
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 70em; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } th, td { padding: .25em .8em; text-align: right }
th { border-bottom: 2px solid #999 } td { border-bottom: 1px solid #ddd }
th:first-child, td:first-child, td.words, th.words { text-align: left }
.bad { color: #b3402e; font-weight: bold } .good { color: #2a7f62 } img { max-width: 100% }
"""


def page(run: Run, result: Result, found: dict[str, list[Finding]]) -> str:
    """The page's HTML."""
    verdict = "all checks hold" if result.ok else "a check failed"
    if not result.valid:
        verdict = f"invalid: the lab itself came {result.lab_late_s:.2f} s late"
    title = f"{result.scenario}, seed {result.seed}, {result.relays} relays"
    parts = [
        f"<h1>{escape(title)}</h1>",
        f"<p>{escape(run.head.scenario)}.</p>",
        f'<p class="{"good" if result.ok and result.valid else "bad"}">{escape(verdict)}</p>',
        rows(["", "messages"], [[name, str(value)] for name, value in result.counts.items()]),
        f'<img alt="time lines" src="data:image/png;base64,{picture(run)}">',
        "<h2>Checks</h2>",
        rows(["check", "breaks", "first"], [checked(name, some) for name, some in found.items()], words=(2,)),
        "<h2>Latency</h2><p>From when a message first came up until its delivery, in milliseconds.</p>",
        rows(["class", "delivered", *(f"{item:g}%" for item in PERCENTILES), "most"], latencies(run)),
        "<h2>Relays</h2>",
        rows(
            ["relay", "lives", "taken", "served", "refused", "failed", "lost", "calls", "cpu s", "MB"],
            relays(run),
        ),
        "<h2>Partners</h2>",
        rows(
            ["endpoint", "calls", "served", "failed", "refused", "no answer", "of its limit"], endpoints(run)
        ),
        "<h2>Faults</h2>",
        rows(["at", "", "on", "what"], [faulted(fault.t, fault) for fault in run.faults], words=(1, 2, 3)),
        f"<p>The lab used {result.lab_cpu_s:.1f} s of processor, the relays {result.relays_cpu_s:.1f} s; "
        "the lab came "
        f"{result.lab_late_s * 1000:.0f} ms late at most.</p>",
    ]
    head = f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(title)}</title>'
    return f"{head}<style>{STYLE}</style>{''.join(parts)}</html>\n"


def rows(names: list[str], lines: list[list[str]], words: tuple[int, ...] = ()) -> str:
    """A table; columns in ``words`` hold text."""

    def cell(tag: str, at: int, text: str) -> str:
        kind = ' class="words"' if at in words else ""
        return f"<{tag}{kind}>{escape(text)}</{tag}>"

    head = "".join(cell("th", at, name) for at, name in enumerate(names))
    body = "".join(
        "<tr>" + "".join(cell("td", at, text) for at, text in enumerate(line)) + "</tr>" for line in lines
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def checked(name: str, some: list[Finding]) -> list[str]:
    """A checker's row."""
    shown = "; ".join(f"{finding.t:.2f} s: {finding.text}" for finding in some[:MOST_SHOWN])
    return [name, str(len(some)), shown if some else "holds"]


def faulted(t: float, fault: object) -> list[str]:
    """A fault's row."""
    phase, on, note = (getattr(fault, name) for name in ("phase", "on", "note"))
    return [f"{t:.2f} s", phase, ", ".join(on), note]


def latencies(run: Run) -> list[list[str]]:
    """By class: delivered messages and percentiles, by a high dynamic range histogram."""
    table = []
    for name in run.classes:
        histogram = HdrHistogram(1, MOST_MS, 3)
        for trace in run.traces.values():
            took_s = trace.took_s
            if trace.handed.cls == name and took_s is not None:
                histogram.record_value(min(MOST_MS, max(1, round(took_s * 1000))))
        count = histogram.get_total_count()
        values = [str(histogram.get_value_at_percentile(item)) if count else "-" for item in PERCENTILES]
        table.append([name, str(count), *values, str(histogram.get_max_value()) if count else "-"])
    return table


def relays(run: Run) -> list[list[str]]:
    """Who did what."""
    table = []
    for relay in run.head.relays:
        some = [trace for trace in run.traces.values() if trace.handed.relay == relay]
        ends = Counter(outcome_of(trace) for trace in some)
        calls = sum(attempt.relay == relay for attempt in run.attempts)
        used = run.used.get(relay)
        numbers = [
            len(run.lives.get(relay, [])), sum(trace.taken for trace in some), ends["delivered"],
            ends["refused"], ends["failed"], ends["lost"], calls,
        ]  # fmt: skip
        cost = [f"{used.cpu_s:.1f}", f"{used.peak_mb:.0f}"] if used else ["-", "-"]
        table.append([relay, *map(str, numbers), *cost])
    return table


def endpoints(run: Run) -> list[list[str]]:
    """What each endpoint saw, and how much of its destination's limit its calls used while the load ran."""
    table = []
    seconds = max(1e-9, run.phases.get("rest", run.over))
    for host, dest in run.head.endpoints.items():
        some = [attempt for attempt in run.attempts if attempt.host == host]
        ends = Counter(attempt.end for attempt in some)
        limit = partner_of(run, dest).limit_per_s
        used = f"{ends['delivered'] / seconds / limit:.0%}" if limit else "no limit"
        numbers = [len(some), ends["delivered"], ends["failed"], ends["refused"], ends[""]]
        table.append([host, *map(str, numbers), used])
    return table


def picture(run: Run) -> str:
    """The time lines as a PNG in base64: ends by second, messages in hand, latency, faults."""
    with mpl.rc_context({"font.size": 9}):
        figure = Figure(figsize=(12, 9), layout="constrained")
        axes = figure.subplots(4, 1, sharex=True, height_ratios=[3, 2, 2, 2])
        for draw, axis in zip((ends_line, hand_line, latency_line, fault_line), axes, strict=True):
            draw(run, axis)
        axes[-1].set_xlabel("seconds")
        axes[-1].set_xlim(0, max(1.0, run.over))
        out = io.BytesIO()
        figure.savefig(out, format="png", dpi=110)
    return base64.b64encode(out.getvalue()).decode()


def ends_line(run: Run, axis: Axes) -> None:
    """Ends by the second in which they came; a lost message stands where its time was up."""
    seconds = range(int(run.over) + 1)
    counts: dict[str, Counter[int]] = {name: Counter() for name in COLOURS}
    for trace in run.traces.values():
        word = outcome_of(trace)
        when = trace.deadline if word == "lost" else trace.ended
        if when is None:
            when = trace.heard.t if trace.heard is not None else trace.handed.t
        name = {"delivered": "served", "unanswered": "refused"}.get(word, word)
        if name in counts and 0 <= when <= run.over:
            counts[name][int(when)] += 1
    bottom = [0] * len(seconds)
    for name, colour in COLOURS.items():
        values = [counts[name][second] for second in seconds]
        axis.bar([second + 0.5 for second in seconds], values, 0.9, bottom=bottom, color=colour, label=name)
        bottom = [low + value for low, value in zip(bottom, values, strict=True)]
    axis.set_ylabel("ends a second")
    axis.legend(ncols=4, loc="upper right", frameon=False)


def hand_line(run: Run, axis: Axes) -> None:
    """Messages that relays had taken and not ended, all together and by relay where they are few."""
    traces = [trace for trace in run.traces.values() if trace.taken]
    few = run.head.relays if len(run.head.relays) <= FEW else []
    for label in ["all", *few]:
        steps = []
        for trace in traces:
            if label in ("all", trace.handed.relay):
                ended = trace.ended
                steps += [(trace.handed.t, 1), (ended if ended is not None else run.over, -1)]
        steps.sort()
        total, times, values = 0, [0.0], [0]
        for t, step in steps:
            total += step
            times.append(t)
            values.append(total)
        axis.step(times, values, where="post", label=label, linewidth=1.6 if label == "all" else 0.9)
    axis.set_ylabel("in hand")
    axis.legend(ncols=6, loc="upper right", frameon=False)


def latency_line(run: Run, axis: Axes) -> None:
    """Each delivery, by when its message first came up."""
    points = [
        (trace.handed.first, max(1e-3, took_s))
        for trace in run.traces.values()
        if (took_s := trace.took_s) is not None
    ]
    axis.semilogy([t for t, _ in points], [took for _, took in points], ".", markersize=2.5, color="#33658a")
    axis.set_ylabel("seconds to delivery")


def fault_line(run: Run, axis: Axes) -> None:
    """A bar for each fault on each of its targets."""
    for row, span in enumerate(run.spans):
        until = min(span.until, run.over)
        axis.barh(row, max(0.05, until - span.since), left=span.since, color="#b3402e", alpha=0.6)
        axis.text(span.since, row, f" {span.kind} {span.on}", va="center", fontsize=7)
    axis.set_yticks([])
    axis.set_ylabel("faults")
    axis.invert_yaxis()
