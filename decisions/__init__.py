"""decisions: the decisions of a relay that delivers webhooks and other calls to many destinations."""

from decisions.engine import DecisionEngine

__all__ = ["DecisionEngine"]
