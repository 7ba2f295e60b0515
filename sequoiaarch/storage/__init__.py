"""Clients of the platform's services: logs, host list and weight store."""
