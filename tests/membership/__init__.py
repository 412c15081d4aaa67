"""Tests of the group membership."""
