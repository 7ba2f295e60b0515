"""Tests of the ingress package."""
