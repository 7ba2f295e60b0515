"""Test routing."""
