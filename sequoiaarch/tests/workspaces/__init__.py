"""Test workspaces: keys, isolation, revocation and limits."""
