"""Test package records."""
