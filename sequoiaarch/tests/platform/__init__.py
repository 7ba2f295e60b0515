"""Test the platform adapter and the whole request path."""
