"""Test package http1."""
