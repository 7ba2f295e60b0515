"""Tests of shards."""
