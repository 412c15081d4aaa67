"""Tests of leases and what keeps them."""
