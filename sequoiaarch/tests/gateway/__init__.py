"""Test package gateway."""
