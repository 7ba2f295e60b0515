"""Test package standins."""
