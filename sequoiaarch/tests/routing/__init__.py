"""Test package routing."""
