"""A proving ground: fleets of real processes, faults between them, and histories that are checked."""
