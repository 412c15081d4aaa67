"""What an endpoint's answer means: verdict, wait, load report, and the results of a batch."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import h11

from decisions.interface import Verdict
from relay.calls import Call, PartOutcome
from relay.http import RESOURCE_SHORTAGE_ERRNOS

LOG = logging.getLogger(__name__)
MAX_ANSWER_BYTES = 64 * 1024  # body of an answer
MAX_RESULT_LINE_BYTES = 160  # for one message in a batch's answer: its id, a word and the line's end
BATCH_VERDICTS = {  # by the result word that a batch's answer gives for a message
    "delivered": Verdict.OK,
    "failed": Verdict.ERROR,
    "refused": Verdict.FULL,
    "over": Verdict.NOT_SENT,
    "spent": Verdict.NOT_SENT,
}
STATUS_OVER = 410  # the message is over for the endpoint: nothing more is owed
STATUS_DELIVERED = 200
LOCAL_SHORTAGE_WAIT_US = 250_000  # before another try, where this process ran out of descriptors or memory


def parse_wait_us(answer: h11.Response) -> int:
    """Return the wait that an answer asks for, in microseconds; 0 for none or one that is no number."""
    return max((max(0, wait_us or 0) for wait_us in _waits_us(answer)), default=0)


def _waits_us(answer: h11.Response) -> Iterator[int | None]:
    """Yield the waits that an answer asks for, in microseconds; None for one that is no number."""
    for name, value in answer.headers:
        if name != b"x-retry-in-ms":
            continue
        try:
            yield int(float(value) * 1000)
        except (ValueError, OverflowError):
            LOG.warning("hosts: X-Retry-In-Ms is %r, not a number of milliseconds", value)
            yield None


def parse_load_report(answer: h11.Response) -> dict[str, float]:
    """Return the load report that any answer may carry; values that are not numbers are left out."""
    report: dict[str, float] = {}
    for name, value in answer.headers:
        if name == b"x-pressure":
            for pair in value.decode("latin-1").split(","):
                field_name, _, text = pair.strip().partition("=")
                try:
                    report[field_name] = float(text)
                except ValueError:
                    continue
    return report


def verdict_of(answer: h11.Response, new_connection: bool = False) -> Verdict:
    """Return the verdict that a status proves; one outside the protocol proves nothing: ``ERROR``.

    An endpoint that accepts no more connections answers the first call on a new one with 503 and closes it:
    the connection was turned away. Above a limit or with a full queue it keeps the connection open.

    A wait that is no number makes the whole answer unreadable, unless its status is 200.
    """
    if answer.status_code != STATUS_DELIVERED and None in _waits_us(answer):
        return Verdict.ERROR
    if answer.status_code == 503 and (b"x-no-slot", b"1") in answer.headers:
        return Verdict.NOT_SENT
    if new_connection and answer.status_code == 503 and (b"connection", b"close") in answer.headers:
        return Verdict.CONNECT_FAILED
    table = {STATUS_DELIVERED: Verdict.OK, 429: Verdict.FULL, 503: Verdict.FULL}
    not_sent = dict.fromkeys((400, STATUS_OVER, 413, 504), Verdict.NOT_SENT)
    return (table | not_sent).get(answer.status_code, Verdict.ERROR)


def outcome_without_answer(call: Call, error: Exception) -> PartOutcome:
    """Return the outcome that is certain for a call that ended without a readable answer.

    A malformed answer is the endpoint's error, not a reset: it arrived, so the connection was not cut.
    """
    if not call.fully_written:
        # A lack of resources on this machine says nothing about the endpoint.
        if isinstance(error, OSError) and error.errno in RESOURCE_SHORTAGE_ERRNOS:
            return PartOutcome(Verdict.NOT_SENT, wait_us=LOCAL_SHORTAGE_WAIT_US)
        return PartOutcome(Verdict.CONNECT_FAILED)
    if call.known_delivered:
        LOG.info("hosts: %s was delivered: status 200, then no readable answer: %r", call.parts[0].id, error)
        return PartOutcome(Verdict.OK, complete=True)
    return PartOutcome(Verdict.ERROR if isinstance(error, h11.RemoteProtocolError) else Verdict.RESET)


def parse_batch_ends(body: bytes) -> dict[str, str]:
    """Return the result word of each message of a batch, by message id; malformed lines are left out.

    So is a message with lines that differ. A body with bytes beyond ASCII is unreadable and tells nothing.
    """
    results: dict[str, str] = {}
    contradicted = set[str]()
    for line in body.split(b"\n") if body.isascii() else ():
        words = line.decode("ascii").split()
        if len(words) != 2:
            continue
        ref, result = words
        if results.setdefault(ref, result) != result:
            contradicted.add(ref)
    return {ref: result for ref, result in results.items() if ref not in contradicted}
