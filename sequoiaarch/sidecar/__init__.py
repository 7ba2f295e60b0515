"""Sidecar: controls all access to one target, an engine or a service."""
