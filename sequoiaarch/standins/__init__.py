"""Simulate external systems, for trials and tests only."""
