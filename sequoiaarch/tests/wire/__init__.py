"""Test package wire."""
