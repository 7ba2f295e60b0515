"""Load, measure and disturb the system."""
