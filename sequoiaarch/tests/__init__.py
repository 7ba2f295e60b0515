"""Test the package; the layout mirrors it."""
