"""Adapter for the users' platform: its headers, documents, settings and store."""
