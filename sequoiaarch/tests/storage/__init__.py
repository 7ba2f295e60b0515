"""Tests of the clients of the platform's services."""
