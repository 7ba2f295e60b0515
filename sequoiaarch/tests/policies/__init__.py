"""Test the policies."""
