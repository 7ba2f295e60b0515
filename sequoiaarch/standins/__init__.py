"""Stand in for the systems outside, in trials and tests only."""
