"""Test the platform package."""
