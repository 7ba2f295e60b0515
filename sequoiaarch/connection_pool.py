"""Pool of HTTP connections whose peers may read slowly."""

from __future__ import annotations

import socket

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


class _HttpConnection(HTTPConnection):
    def _new_conn(self) -> socket.socket:
        return _connect(self)


class _HttpsConnection(HTTPSConnection):
    def _new_conn(self) -> socket.socket:
        return _connect(self)


class _HttpPool(HTTPConnectionPool):
    ConnectionCls = _HttpConnection


class _HttpsPool(HTTPSConnectionPool):
    ConnectionCls = _HttpsConnection
