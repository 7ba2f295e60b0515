"""Test keys, isolation and rate limits of workspaces."""
