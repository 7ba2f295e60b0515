"""Test package daemon."""
