"""Scale measurements: how cost grows with fleet size, with simulated parts and a few real processes."""
