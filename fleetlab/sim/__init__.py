"""A seeded simulator: a clock, a network and disks on which the very cores of services run, step by step."""
