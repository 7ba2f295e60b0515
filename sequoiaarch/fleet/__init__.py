"""Coordinate the ingress daemons of all hosts."""
