"""A relay process is replaced: the next one knows the whole list, and its client loses nothing."""

from __future__ import annotations

from fleetlab.scale.subjects.replacement import measure


def test_the_next_process_knows_the_whole_list_and_its_client_is_answered() -> None:
    """The client keeps one connection; the measurement raises if it ends."""
    figures = {reading.figure: reading.value for reading in measure(40, 1)}
    assert figures["real_known_after_endpoints"] == 40
    assert figures["real_longest_client_wait_seconds"] > 0
