"""Pool of HTTP connections whose peers may read slowly."""

from __future__ import annotations

import http.client
import socket
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.connectionpool import HTTPConnectionPool, HTTPSConnectionPool

# Seconds for a connection to be established.
CONNECT_TIMEOUT = 1.0


def timeouts(seconds: float) -> urllib3.Timeout:
    """Return the limit without progress for sending a request and for its response.

    urllib3 sends a request within the timeout that it calls `connect`.
    """
    return urllib3.Timeout(connect=seconds, read=seconds)


def connection_pool(size: int) -> urllib3.PoolManager:
    """Return a pool that connects within `CONNECT_TIMEOUT` and repeats nothing.

    Requests need the timeouts that `timeouts` returns.
    """
    pool = urllib3.PoolManager(maxsize=size, block=False, retries=False)
    pool.pool_classes_by_scheme = {"http": _HttpPool, "https": _HttpsPool}
    return pool


def whole_head_pool(size: int, *, hosts: int = 1) -> urllib3.PoolManager:
    """Return a pool with the timeouts of its requests that repeats nothing."""
    pool = urllib3.PoolManager(
        num_pools=hosts, maxsize=size, block=False, retries=False
    )
    pool.pool_classes_by_scheme = {
        "http": _WholeHeadPool,
        "https": _WholeHeadSecurePool,
    }
    return pool


def _connect(connection: HTTPConnection) -> socket.socket:
    """Connect within `CONNECT_TIMEOUT`, and use the connection's timeout after that."""
    timeout = connection.timeout
    connection.timeout = CONNECT_TIMEOUT
    try:
        sock = HTTPConnection._new_conn(connection)
    finally:
        connection.timeout = timeout
    sock.settimeout(timeout)
    return sock


class _LineReader:
    """Reader of a response that keeps its last line."""

    def __init__(self, *, reader: Any) -> None:
        self.reader = reader
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read and keep a line."""
        self.last_line = self.reader.readline(limit)
        return bytes(self.last_line)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.reader, name)


class _WholeHeadResponse(http.client.HTTPResponse):
    """Response that fails if its head does not end with an empty line.

    The standard library takes the end of the connection for the end of the head.
    """

    fp: Any

    def begin(self) -> None:
        """Read the head; raise IncompleteRead if it breaks off."""
        reader = self.fp = _LineReader(reader=self.fp)
        super().begin()
        if self.fp is reader:
            self.fp = reader.reader
        if reader.last_line not in (b"\r\n", b"\n"):
            self.close()
            raise http.client.IncompleteRead(reader.last_line)


class _WholeHeadConnection(HTTPConnection):
    response_class = _WholeHeadResponse


class _WholeHeadPool(HTTPConnectionPool):
    ConnectionCls = _WholeHeadConnection


class _WholeHeadSecureConnection(HTTPSConnection):
    response_class = _WholeHeadResponse


class _WholeHeadSecurePool(HTTPSConnectionPool):
    ConnectionCls = _WholeHeadSecureConnection


class _HttpConnection(_WholeHeadConnection):
    def _new_conn(self) -> socket.socket:
        return _connect(self)


class _HttpsConnection(_WholeHeadSecureConnection):
    def _new_conn(self) -> socket.socket:
        return _connect(self)


class _HttpPool(HTTPConnectionPool):
    ConnectionCls = _HttpConnection


class _HttpsPool(HTTPSConnectionPool):
    ConnectionCls = _HttpsConnection
