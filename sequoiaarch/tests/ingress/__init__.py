"""Test the ingress package."""
