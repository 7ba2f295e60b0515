"""Know where a request may go: routes, services and their targets."""
