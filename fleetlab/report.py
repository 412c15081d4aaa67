"""The report of a run: a self-contained HTML page, made from the history alone."""

from __future__ import annotations

import base64
import io
from collections import Counter
from html import escape

import matplotlib as mpl
from hdrh.histogram import HdrHistogram
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from fleetlab.checks import Finding, Result, Run, destination_spec, outcome_of

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_LATENCY_MS = 120_000  # upper bound of the histograms; longer latencies count as this
MAX_RELAY_LINES = 5  # with more relays the chart has no line for each of them
MAX_SHOWN_FINDINGS = 10  # for each checker
COLOURS = {"served": "#2a7f62", "refused": "#d9a441", "failed": "#b3402e", "lost": "#5b1a6b"}
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 70em; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } th, td { padding: .25em .8em; text-align: right }
th { border-bottom: 2px solid #999 } td { border-bottom: 1px solid #ddd }
th:first-child, td:first-child, td.words, th.words { text-align: left }
.bad { color: #b3402e; font-weight: bold } .good { color: #2a7f62 } img { max-width: 100% }
"""


def render_page(run: Run, result: Result, findings: dict[str, list[Finding]]) -> str:
    """Return the HTML of the page."""
    verdict = "all checks hold" if result.ok else "a check failed"
    if not result.valid:
        verdict = f"invalid: the lab itself came {result.lab_late_s:.2f} s late"
    title = f"{result.scenario}, seed {result.seed}, {result.relays} relays"
    parts = [
        f"<h1>{escape(title)}</h1>",
        f"<p>{escape(run.head.scenario)}.</p>",
        f'<p class="{"good" if result.ok and result.valid else "bad"}">{escape(verdict)}</p>',
        html_table(["", "messages"], [[name, str(value)] for name, value in result.counts.items()]),
        f'<img alt="time lines" src="data:image/png;base64,{timeline_png(run)}">',
        "<h2>Checks</h2>",
        html_table(
            ["check", "breaks", "first"],
            [check_row(name, check_findings) for name, check_findings in findings.items()],
            text_columns=(2,),
        ),
        "<h2>Latency</h2><p>From when a message first came up until its delivery, in milliseconds.</p>",
        html_table(
            ["class", "delivered", *(f"{item:g}%" for item in PERCENTILES), "most"], latency_rows(run)
        ),
        "<h2>Relays</h2>",
        html_table(
            ["relay", "lives", "taken", "served", "refused", "failed", "lost", "calls", "cpu s", "MB"],
            relay_rows(run),
        ),
        "<h2>Partners</h2>",
        html_table(
            ["endpoint", "calls", "served", "failed", "refused", "no answer", "of its limit"],
            endpoint_rows(run),
        ),
        "<h2>Faults</h2>",
        html_table(
            ["at", "", "on", "what"],
            [fault_row(fault.t, fault) for fault in run.faults],
            text_columns=(1, 2, 3),
        ),
        f"<p>The lab used {result.lab_cpu_s:.1f} s of processor, the relays {result.relays_cpu_s:.1f} s; "
        "the lab came "
        f"{result.lab_late_s * 1000:.0f} ms late at most.</p>",
    ]
    head = f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{escape(title)}</title>'
    return f"{head}<style>{STYLE}</style>{''.join(parts)}</html>\n"


def html_table(names: list[str], lines: list[list[str]], text_columns: tuple[int, ...] = ()) -> str:
    """Return an HTML table; the columns with indexes in ``text_columns`` hold text and are aligned left."""

    def cell(tag: str, at: int, text: str) -> str:
        kind = ' class="words"' if at in text_columns else ""
        return f"<{tag}{kind}>{escape(text)}</{tag}>"

    head = "".join(cell("th", at, name) for at, name in enumerate(names))
    body = "".join(
        "<tr>" + "".join(cell("td", at, text) for at, text in enumerate(line)) + "</tr>" for line in lines
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def check_row(name: str, findings: list[Finding]) -> list[str]:
    """Return the row of a checker."""
    shown = "; ".join(f"{finding.time_s:.2f} s: {finding.text}" for finding in findings[:MAX_SHOWN_FINDINGS])
    return [name, str(len(findings)), shown if findings else "holds"]


def fault_row(t: float, fault: object) -> list[str]:
    """Return the row of a fault record, which began or ended at ``t``."""
    phase, on, note = (getattr(fault, name) for name in ("phase", "on", "note"))
    return [f"{t:.2f} s", phase, ", ".join(on), note]


def latency_rows(run: Run) -> list[list[str]]:
    """Return a row for each class: its delivered messages and percentiles of their latency in ms.

    Percentiles come from a high dynamic range histogram with three significant digits.
    """
    rows = []
    for name in run.classes:
        histogram = HdrHistogram(1, MAX_LATENCY_MS, 3)
        for trace in run.traces.values():
            latency_s = trace.latency_s
            if trace.submission.cls == name and latency_s is not None:
                histogram.record_value(min(MAX_LATENCY_MS, max(1, round(latency_s * 1000))))
        count = histogram.get_total_count()
        values = [str(histogram.get_value_at_percentile(item)) if count else "-" for item in PERCENTILES]
        rows.append([name, str(count), *values, str(histogram.get_max_value()) if count else "-"])
    return rows


def relay_rows(run: Run) -> list[list[str]]:
    """Return a row for each relay: lives, messages by outcome, calls and cost."""
    rows = []
    for relay in run.head.relays:
        traces = [trace for trace in run.traces.values() if trace.submission.relay == relay]
        outcomes = Counter(outcome_of(trace) for trace in traces)
        calls = sum(attempt.relay == relay for attempt in run.attempts)
        used = run.usage_by_process.get(relay)
        numbers = [
            len(run.lives.get(relay, [])), sum(trace.accepted for trace in traces), outcomes["delivered"],
            outcomes["refused"], outcomes["failed"], outcomes["lost"], calls,
        ]  # fmt: skip
        cost = [f"{used.cpu_s:.1f}", f"{used.peak_mb:.0f}"] if used else ["-", "-"]
        rows.append([relay, *map(str, numbers), *cost])
    return rows


def endpoint_rows(run: Run) -> list[list[str]]:
    """Return a row for each endpoint: its calls by outcome, and how much of its limit they used.

    That is the rate of delivered calls while the load ran, as a share of the destination's limit.
    """
    rows = []
    seconds = max(1e-9, run.phase_times.get("rest", run.end_s))
    for host, dest in run.head.endpoints.items():
        attempts = [attempt for attempt in run.attempts if attempt.host == host]
        outcomes = Counter(attempt.outcome for attempt in attempts)
        limit = destination_spec(run, dest).limit_per_s
        used = f"{outcomes['delivered'] / seconds / limit:.0%}" if limit else "no limit"
        numbers = [
            len(attempts),
            outcomes["delivered"],
            outcomes["failed"],
            outcomes["refused"],
            outcomes[""],
        ]
        rows.append([host, *map(str, numbers), used])
    return rows


def timeline_png(run: Run) -> str:
    """Return the charts over time as a PNG in base64: outcomes, open messages, latency and faults."""
    with mpl.rc_context({"font.size": 9}):
        figure = Figure(figsize=(12, 9), layout="constrained")
        axes = figure.subplots(4, 1, sharex=True, height_ratios=[3, 2, 2, 2])
        for draw, axis in zip((draw_ends, draw_in_hand, draw_latency, draw_faults), axes, strict=True):
            draw(run, axis)
        axes[-1].set_xlabel("seconds")
        axes[-1].set_xlim(0, max(1.0, run.end_s))
        out = io.BytesIO()
        figure.savefig(out, format="png", dpi=110)
    return base64.b64encode(out.getvalue()).decode()


def draw_ends(run: Run, axis: Axes) -> None:
    """Draw the outcomes of messages by second; a lost message is drawn at its deadline."""
    seconds = range(int(run.end_s) + 1)
    counts: dict[str, Counter[int]] = {name: Counter() for name in COLOURS}
    for trace in run.traces.values():
        outcome = outcome_of(trace)
        time_s = trace.deadline_s if outcome == "lost" else trace.ended_s
        if time_s is None:
            time_s = trace.client_answer.t if trace.client_answer is not None else trace.submission.t
        name = {"delivered": "served", "unanswered": "refused"}.get(outcome, outcome)
        if name in counts and 0 <= time_s <= run.end_s:
            counts[name][int(time_s)] += 1
    bottom = [0] * len(seconds)
    for name, colour in COLOURS.items():
        values = [counts[name][second] for second in seconds]
        axis.bar([second + 0.5 for second in seconds], values, 0.9, bottom=bottom, color=colour, label=name)
        bottom = [low + value for low, value in zip(bottom, values, strict=True)]
    axis.set_ylabel("ends a second")
    axis.legend(ncols=4, loc="upper right", frameon=False)


def draw_in_hand(run: Run, axis: Axes) -> None:
    """Draw how many accepted messages had not ended, of all relays and, if there are few, of each."""
    traces = [trace for trace in run.traces.values() if trace.accepted]
    shown_relays = run.head.relays if len(run.head.relays) <= MAX_RELAY_LINES else []
    for label in ["all", *shown_relays]:
        steps = []
        for trace in traces:
            if label in ("all", trace.submission.relay):
                ended = trace.ended_s
                steps += [(trace.submission.t, 1), (ended if ended is not None else run.end_s, -1)]
        steps.sort()
        total, times, values = 0, [0.0], [0]
        for t, step in steps:
            total += step
            times.append(t)
            values.append(total)
        axis.step(times, values, where="post", label=label, linewidth=1.6 if label == "all" else 0.9)
    axis.set_ylabel("in hand")
    axis.legend(ncols=6, loc="upper right", frameon=False)


def draw_latency(run: Run, axis: Axes) -> None:
    """Draw the latency of each delivery at the time when its message first came up."""
    points = [
        (trace.submission.first, max(1e-3, latency_s))
        for trace in run.traces.values()
        if (latency_s := trace.latency_s) is not None
    ]
    axis.semilogy([t for t, _ in points], [took for _, took in points], ".", markersize=2.5, color="#33658a")
    axis.set_ylabel("seconds to delivery")


def draw_faults(run: Run, axis: Axes) -> None:
    """Draw a bar for each fault on each of its targets."""
    for row, span in enumerate(run.fault_spans):
        until = min(span.until_s, run.end_s)
        axis.barh(row, max(0.05, until - span.since_s), left=span.since_s, color="#b3402e", alpha=0.6)
        axis.text(span.since_s, row, f" {span.kind} {span.target}", va="center", fontsize=7)
    axis.set_yticks([])
    axis.set_ylabel("faults")
    axis.invert_yaxis()
