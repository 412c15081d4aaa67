"""What an answer proves: the verdict, the wait and the load report that it tells, and the ends of a batch."""

from __future__ import annotations

import logging

import h11

from decisions.interface import Verdict
from relay.calls import Call, PartOutcome
from relay.http import RESOURCE_SHORTAGE_ERRNOS

LOG = logging.getLogger(__name__)
MAX_ANSWER_BYTES = 64 * 1024  # bytes of an answer's body
BATCH_VERDICTS = {
    "delivered": Verdict.OK,
    "failed": Verdict.ERROR,
    "refused": Verdict.FULL,
    "over": Verdict.NOT_SENT,
    "spent": Verdict.NOT_SENT,
}
STATUS_OVER, STATUS_DELIVERED = 410, 200
LOCAL_SHORTAGE_WAIT_US = (
    250_000  # us that a message is held back for where this process has no descriptor left
)


def parse_wait_us(answer: h11.Response) -> int:
    """The wait that an answer tells, in microseconds; 0 for none."""
    for name, value in answer.headers:
        if name == b"x-retry-in-ms":
            try:
                return max(0, int(float(value) * 1000))
            except (ValueError, OverflowError):
                LOG.warning("hosts: unreadable wait %r", value)
    return 0


def parse_load_report(answer: h11.Response) -> dict[str, float]:
    """The load report that any answer may carry; values that cannot be read are unknown."""
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


def verdict_of(answer: h11.Response, new: bool = False) -> Verdict:
    """What a status proves; one that the protocol does not know proves nothing.

    A host that holds no more connections answers the first call on a ``new`` one with 503 and ends it: the
    connection was turned away. Above a limit or with a full queue it keeps the connection.
    """
    if answer.status_code == 503 and (b"x-no-slot", b"1") in answer.headers:
        return Verdict.NOT_SENT
    if new and answer.status_code == 503 and (b"connection", b"close") in answer.headers:
        return Verdict.CONNECT_FAILED
    table = {STATUS_DELIVERED: Verdict.OK, 429: Verdict.FULL, 503: Verdict.FULL}
    unsent = dict.fromkeys((400, STATUS_OVER, 413, 504), Verdict.NOT_SENT)
    return (table | unsent).get(answer.status_code, Verdict.ERROR)


def outcome_without_answer(call: Call, error: Exception) -> PartOutcome:
    """What a call proves that ended without an answer that could be read.

    An answer that makes no sense is the host's failure: the connection brought it, so nothing cut that.
    """
    if not call.fully_written:
        if isinstance(error, OSError) and error.errno in RESOURCE_SHORTAGE_ERRNOS:  # says nothing of the host
            return PartOutcome(Verdict.NOT_SENT, wait_us=LOCAL_SHORTAGE_WAIT_US)
        return PartOutcome(Verdict.CONNECT_FAILED)
    if call.known_delivered:
        LOG.info("hosts: %s is delivered by its first line alone: %r", call.parts[0].id, error)
        return PartOutcome(Verdict.OK, complete=True)
    return PartOutcome(Verdict.ERROR if isinstance(error, h11.RemoteProtocolError) else Verdict.RESET)


def parse_batch_ends(body: bytes) -> dict[str, str]:
    """The end of each message of a batch."""
    lines = (line.split() for line in body.decode("latin-1").splitlines())
    return {words[0]: words[1] for words in lines if len(words) == 2}
