"""Test package shards."""
