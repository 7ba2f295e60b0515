"""Implement an HTTP/1.1 server and client on asyncio and h11."""
