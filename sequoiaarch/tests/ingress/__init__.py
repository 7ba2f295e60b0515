"""Test package ingress."""
