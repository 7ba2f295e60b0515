"""Track which targets can be given work."""
