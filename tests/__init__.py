"""Tests of starlingglade."""
