"""Test package engines."""
