"""Test package policies."""
