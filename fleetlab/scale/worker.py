"""``python -m fleetlab.scale.worker SUBJECT SIZE SEED``: one measurement, printed as JSON."""

from __future__ import annotations

import subprocess
import sys
import time

import msgspec

from fleetlab.scale.records import Sample, ScaleError
from fleetlab.scale.registry import find_subject
from fleetlab.scale.subject import Subject

MAX_ERROR_CHARACTERS = 300  # of a failed measurement's last line, in the error


def measure_in_process(subject: Subject, size: int, seed: int) -> Sample:
    """Measure in a new process; ``ScaleError`` if it fails, or is killed because it exceeds its time."""
    command = [sys.executable, "-m", "fleetlab.scale.worker", subject.name, str(size), str(seed)]
    try:
        done = subprocess.run(command, capture_output=True, timeout=subject.timeout_s, check=False)
    except subprocess.TimeoutExpired:
        raise ScaleError(
            f"{subject.name}: size {size}: did not end within {subject.timeout_s:.0f} s"
        ) from None
    if done.returncode:
        last = done.stderr.decode(errors="replace").strip().rpartition("\n")[2]
        raise ScaleError(f"{subject.name}: size {size}: failed: {last[:MAX_ERROR_CHARACTERS]}")
    try:
        return msgspec.json.decode(done.stdout, type=Sample)
    except msgspec.DecodeError as error:
        raise ScaleError(f"{subject.name}: size {size}: unreadable result: {error}") from None


def main(arguments: list[str]) -> int:
    """Measure, and print the sample as JSON."""
    subject, size, seed = find_subject(arguments[0]), int(arguments[1]), int(arguments[2])
    begun_s = time.monotonic()
    readings = tuple(subject.measure(size, seed))
    sample = Sample(subject.name, size, seed, time.monotonic() - begun_s, readings)
    print(msgspec.json.encode(sample).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
