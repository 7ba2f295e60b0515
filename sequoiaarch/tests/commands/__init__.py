"""Test package commands."""
