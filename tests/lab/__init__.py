"""Tests of the proving ground."""
