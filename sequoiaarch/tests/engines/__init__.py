"""Tests of the clients of engines and services."""
