"""Soak test: run gateway processes and callers under injected faults."""
