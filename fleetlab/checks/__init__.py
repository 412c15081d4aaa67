"""Checkers: each reads a history alone and says what breaks one rule, so that an old run can be judged again.

The rules are those of the protocol's page, with its slack on sockets. A checker errs on the side of the
relay only where the lab itself cannot know, and says so in its docstring.
"""

from fleetlab.checks.counts import outcome_of
from fleetlab.checks.destinations import destination_spec
from fleetlab.checks.finding import Check, Finding
from fleetlab.checks.judgement import CHECKERS, Result, judge_run, run_checkers
from fleetlab.checks.leases import one_actor
from fleetlab.checks.message import Attempt, MessageTrace
from fleetlab.checks.run import Run

__all__ = [
    "CHECKERS",
    "Attempt",
    "Check",
    "Finding",
    "MessageTrace",
    "Result",
    "Run",
    "run_checkers",
    "judge_run",
    "one_actor",
    "outcome_of",
    "destination_spec",
]
