"""Measures what a request costs: a real relay process among stand-ins, observed from outside."""
