"""Tests of running the calls of programs."""
