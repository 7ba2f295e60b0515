"""Daemon process: assembles and runs a gateway or sidecar from its settings."""
