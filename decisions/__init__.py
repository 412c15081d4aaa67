"""The decision engine of a relay that delivers messages by HTTP calls to many destinations, without I/O."""

from decisions.engine import DecisionEngine

__all__ = ["DecisionEngine"]
