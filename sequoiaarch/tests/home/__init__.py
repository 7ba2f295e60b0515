"""Test package home."""
