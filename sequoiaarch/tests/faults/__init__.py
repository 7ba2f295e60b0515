"""Test the properties under faults."""
