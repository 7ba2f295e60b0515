"""Test package platform."""
