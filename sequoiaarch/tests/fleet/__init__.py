"""Test package fleet."""
