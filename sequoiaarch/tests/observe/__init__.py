"""Test package observe."""
