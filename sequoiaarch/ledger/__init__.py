"""Keep the turns of programs and what they spent in the platform's log."""
