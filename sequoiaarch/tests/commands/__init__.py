"""Tests of the commands package."""
