"""Benchmarks, cost measurements and a soak test."""
