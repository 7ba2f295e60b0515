"""Observability: logs, metrics, traces and decisions."""
