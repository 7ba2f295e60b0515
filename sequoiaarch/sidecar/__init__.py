"""Stand beside one target and be the only way to it."""
