"""Define what is kept in the log and how every reader judges it."""
