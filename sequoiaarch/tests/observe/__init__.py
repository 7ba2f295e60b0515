"""Tests of the observe package."""
