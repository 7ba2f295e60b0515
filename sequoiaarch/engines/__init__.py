"""Clients of the model engines and services behind targets."""
