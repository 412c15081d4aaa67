"""A replicated lease service: only one process of a fleet holds a lease, and performs its task, at a time."""
