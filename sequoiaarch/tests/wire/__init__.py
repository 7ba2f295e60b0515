"""Tests of the internal protocol."""
