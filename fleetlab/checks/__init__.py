"""Checkers: each one tests a recorded history against one rule and reports the violations.

A checker needs nothing but the history, so that an old run can be checked again. The rules are those of the
protocol's page, with the slack that the page allows on sockets. Where the lab itself cannot know whether a
rule was broken, the checker decides in favour of the relay, and its docstring says so.
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
    "destination_spec",
    "judge_run",
    "one_actor",
    "outcome_of",
    "run_checkers",
]
