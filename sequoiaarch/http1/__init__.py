"""Speak HTTP/1.1 exactly, as server and as client, on asyncio."""
