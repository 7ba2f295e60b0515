"""Tests of processes under crowds of clients that ignore the protocol's limits."""
