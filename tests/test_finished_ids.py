"""Ids of messages that are over."""

from __future__ import annotations

from relay.finished_ids import MAX_IDS_OF_A_KIND, FinishedIds


def test_messages_that_were_never_sent_do_not_crowd_out_those_that_were() -> None:
    """Guards against a second run: one client has thousands of messages refused in a second."""
    finished = FinishedIds()
    finished.add("sent", was_sent=True)
    for number in range(10 * MAX_IDS_OF_A_KIND):
        finished.add(f"unsent{number}", was_sent=False)
    assert "sent" in finished
    assert f"unsent{10 * MAX_IDS_OF_A_KIND - 1}" in finished
    assert len(finished.export()) == MAX_IDS_OF_A_KIND + 1


def test_the_next_process_knows_the_same_ids_and_forgets_the_oldest_sent_ones_last() -> None:
    finished, restored = FinishedIds(), FinishedIds()
    for number in range(MAX_IDS_OF_A_KIND + 5):
        finished.add(f"sent{number}", was_sent=True)
        finished.add(f"unsent{number}", was_sent=False)
    restored.restore(finished.export())
    assert restored.export() == finished.export()
    for number in range(MAX_IDS_OF_A_KIND):
        restored.add(f"later{number}", was_sent=False)
    assert f"sent{MAX_IDS_OF_A_KIND + 4}" in restored
    assert "sent5" in restored
    assert "unsent5" not in restored
