"""Test package sidecar."""
