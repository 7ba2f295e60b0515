"""Control all access to one target, which is an engine or a service."""
