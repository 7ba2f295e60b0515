"""Serve callers in front of targets without any state that must last."""
