"""All subjects of measurement, by name."""

from __future__ import annotations

from fleetlab.scale.records import ScaleError
from fleetlab.scale.subject import Subject
from fleetlab.scale.subjects import endpoint_list, watchers

SUBJECTS = {
    subject.name: subject for subject in (endpoint_list.SUBJECT, watchers.SUBJECT, watchers.LONG_LIST_SUBJECT)
}


def subject_named(name: str) -> Subject:
    """The subject; ``ScaleError`` where there is none of that name."""
    if (subject := SUBJECTS.get(name)) is None:
        raise ScaleError(f"no subject is called {name!r}; there are {', '.join(SUBJECTS)}")
    return subject
