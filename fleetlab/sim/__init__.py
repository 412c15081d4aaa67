"""A seeded simulator of clocks, network and disks that runs the unmodified cores of services."""
