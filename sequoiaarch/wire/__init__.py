"""Speak the inner protocol between the system's own processes."""
