"""Test package ledger."""
