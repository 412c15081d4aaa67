"""Reads the figures of all relays of a fleet at a bounded pace, and keeps a summary of them in the quorum."""
