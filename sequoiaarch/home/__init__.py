"""Run the calls of programs: order, history, budget and commits."""
