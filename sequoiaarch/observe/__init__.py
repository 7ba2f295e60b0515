"""Show what the system does: logs, metrics, traces and decisions."""
