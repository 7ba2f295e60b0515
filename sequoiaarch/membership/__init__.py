"""Know which targets can be given work."""
