"""Decide where, in what order and with what memory programs run."""
