"""Access the platform's services over HTTP."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec
from urllib3.exceptions import HTTPError

from ..connection_pool import connection_pool, timeouts
from ..errors import ErrorKind, Failure
from ..ids import Offset
from .interfaces import HostEntry, Page

APPEND_TIMEOUT = 5.0
REPLY_TIMEOUT = 5.0
T = TypeVar("T")
POOL_SIZE = 32


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an append: the offset of its first record."""

    offset: Offset


class AppendBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an append request."""

    records: list[bytes]


class ReserveReply(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a reservation; `wait` in seconds."""

    wait: float


class HttpClient:
    """HTTP client that runs blocking requests in a thread pool."""

    def __init__(self, *, url: str, threads: int = POOL_SIZE) -> None:
        self._url = url.rstrip("/")
        self._pool = connection_pool(threads)
        self._threads = ThreadPoolExecutor(threads, thread_name_prefix="http")

    async def request(
        self, method: str, path: str, *, body: bytes | None = None, timeout: float
    ) -> bytes | Failure:
        """Send a request; return the body of its response, or why there is none."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._threads, self._request, method, path, body, timeout
        )

    def _request(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> bytes | Failure:
        try:
            reply = self._pool.request(
                method, self._url + path, body=body, timeout=timeouts(timeout)
            )
        except HTTPError as error:
            return _unavailable(f"{method} {path}: {type(error).__name__}")
        if reply.status != 200:
            return _unavailable(f"{method} {path} answered {reply.status}")
        return reply.data

    def close(self) -> None:
        """Shut down the threads and close the connections."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()


class HttpLog:
    """The platform's log over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append records atomically; return the offset of the first."""
        body = msgspec.json.encode(AppendBody(records=records))
        path = f"/streams/{stream}/records"
        reply = await self._client.request(
            "POST", path, body=body, timeout=APPEND_TIMEOUT
        )
        if isinstance(reply, Failure):
            return reply
        decoded = _decode(reply, Appended)
        return decoded if isinstance(decoded, Failure) else decoded.offset

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read from an offset; wait up to `wait` seconds for a record."""
        path = f"/streams/{stream}/records?from={start}&limit={limit}&wait={wait}"
        timeout = wait + REPLY_TIMEOUT
        reply = await self._client.request("GET", path, timeout=timeout)
        return reply if isinstance(reply, Failure) else _decode(reply, Page)


class HttpHostList:
    """The platform's host list over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def hosts(self) -> list[HostEntry] | Failure:
        """Return all hosts of the platform."""
        reply = await self._client.request("GET", "/hosts", timeout=REPLY_TIMEOUT)
        if isinstance(reply, Failure):
            return reply
        return _decode(reply, list[HostEntry])


class HttpWeightStore:
    """The platform's store of model weights over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def reserve(self, model: str, version: str) -> float | Failure:
        """Reserve one load of a model; return the seconds to wait before it."""
        path = f"/weights/{model}/{version}/reserve"
        reply = await self._client.request("POST", path, timeout=REPLY_TIMEOUT)
        if isinstance(reply, Failure):
            return reply
        decoded = _decode(reply, ReserveReply)
        return decoded if isinstance(decoded, Failure) else decoded.wait


def _decode(data: bytes, kind: type[T]) -> T | Failure:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        return _unavailable(f"cannot decode the platform's response: {error}")


def _unavailable(reason: str) -> Failure:
    return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason=reason)
