"""Assemble and run a gateway or sidecar from its settings."""
