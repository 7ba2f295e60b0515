"""Answer callers and operators, and relay to the homes of programs."""
