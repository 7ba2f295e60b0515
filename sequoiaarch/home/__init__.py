"""Run programs: their order, history and budget."""
