"""Leases for tasks that one process of a fleet may do at a time, kept by members that agree."""
