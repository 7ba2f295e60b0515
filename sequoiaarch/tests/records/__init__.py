"""Tests of the records of shards."""
