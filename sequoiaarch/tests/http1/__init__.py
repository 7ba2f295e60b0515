"""Test the http1 package."""
