"""Serve callers and operators over HTTP and route calls to sidecars."""
