"""All subjects of the scale measurements, by name."""

from __future__ import annotations

from fleetlab.scale.records import ScaleError
from fleetlab.scale.subject import Subject
from fleetlab.scale.subjects import (
    backlog,
    destinations,
    endpoint_list,
    fleet_outage,
    lease_holders,
    lease_holders_processes,
    members,
    members_faults,
    members_processes,
    real_watchers,
    replacement,
    replay_process,
    watchers,
)

ALL_SUBJECTS = (
    endpoint_list.SUBJECT,
    watchers.SUBJECT,
    watchers.LONG_LIST_SUBJECT,
    real_watchers.SUBJECT,
    destinations.SUBJECT,
    destinations.WITHOUT_CANCEL,
    destinations.FEW_SLOTS,
    fleet_outage.SUBJECT,
    backlog.SUBJECT,
    backlog.MOSTLY_ONE_SUBJECT,
    replay_process.SUBJECT,
    replacement.SUBJECT,
    members.SUBJECT,
    *members_faults.SUBJECTS,
    members_processes.SUBJECT,
    lease_holders.SUBJECT,
    lease_holders_processes.SUBJECT,
)
SUBJECTS = {subject.name: subject for subject in ALL_SUBJECTS}


def find_subject(name: str) -> Subject:
    """The subject of this name; ``ScaleError`` if there is none."""
    if (subject := SUBJECTS.get(name)) is None:
        raise ScaleError(f"no subject is called {name!r}; there are {', '.join(SUBJECTS)}")
    return subject
