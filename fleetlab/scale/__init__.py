"""Scale measurements: how cost grows with the size of a fleet, by hollow parts and a few real processes."""
