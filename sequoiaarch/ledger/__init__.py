"""Store the turns and token budgets of programs in the shared log."""
