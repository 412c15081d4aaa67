"""Tests of members that know each other."""
