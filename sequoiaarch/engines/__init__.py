"""Meet model engines and plain services behind their targets."""
