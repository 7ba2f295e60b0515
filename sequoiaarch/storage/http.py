"""Meet the platform's services over HTTP."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec
import urllib3

from ..errors import ErrorKind, Failure
from ..ids import Offset
from .interfaces import HostEntry, Page

CONNECT_TIMEOUT = 1.0
APPEND_TIMEOUT = 5.0
READ_MARGIN = 5.0
T = TypeVar("T")
POOL_SIZE = 32


class Appended(msgspec.Struct, frozen=True, kw_only=True):
    """Answer an append."""

    offset: Offset


class AppendBody(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the records of one append."""

    records: list[bytes]


class ReserveReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a reservation of the weight store."""

    wait: float


class HttpClient:
    """Run blocking HTTP requests beside the event loop."""

    def __init__(self, *, url: str, threads: int = POOL_SIZE) -> None:
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=threads, block=False, retries=False)
        self._threads = ThreadPoolExecutor(threads, thread_name_prefix="http")

    async def request(
        self, method: str, path: str, *, body: bytes | None = None, timeout: float
    ) -> bytes | Failure:
        """Send one request and return its body, or why there is none."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._threads, self._request, method, path, body, timeout
        )

    def _request(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> bytes | Failure:
        limits = urllib3.Timeout(connect=CONNECT_TIMEOUT, read=timeout)
        try:
            reply = self._pool.request(
                method, self._url + path, body=body, timeout=limits
            )
        except urllib3.exceptions.HTTPError as error:
            return _unavailable(f"{method} {path}: {type(error).__name__}")
        if reply.status != 200:
            return _unavailable(f"{method} {path} answered {reply.status}")
        return reply.data

    def close(self) -> None:
        """Let go of threads and connections."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()


class HttpLog:
    """Append to and read from the log over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append records together and return the offset of the first."""
        body = msgspec.json.encode(AppendBody(records=records))
        path = f"/streams/{stream}/records"
        reply = await self._client.request(
            "POST", path, body=body, timeout=APPEND_TIMEOUT
        )
        if isinstance(reply, Failure):
            return reply
        answer = _decode(reply, Appended)
        return answer if isinstance(answer, Failure) else answer.offset

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read from an offset, waiting up to `wait` seconds for a record."""
        path = f"/streams/{stream}/records?from={start}&limit={limit}&wait={wait}"
        timeout = wait + READ_MARGIN
        reply = await self._client.request("GET", path, timeout=timeout)
        return reply if isinstance(reply, Failure) else _decode(reply, Page)


class HttpHostList:
    """Read the host list over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def hosts(self) -> list[HostEntry] | Failure:
        """Return all hosts that the platform knows."""
        reply = await self._client.request("GET", "/hosts", timeout=READ_MARGIN)
        if isinstance(reply, Failure):
            return reply
        return _decode(reply, list[HostEntry])


class HttpWeightStore:
    """Ask the weight store over HTTP."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def reserve(self, model: str, version: str) -> float | Failure:
        """Reserve one load and return the seconds to wait before it."""
        path = f"/weights/{model}/{version}/reserve"
        reply = await self._client.request("POST", path, timeout=READ_MARGIN)
        if isinstance(reply, Failure):
            return reply
        answer = _decode(reply, ReserveReply)
        return answer if isinstance(answer, Failure) else answer.wait


def _decode(data: bytes, kind: type[T]) -> T | Failure:
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        return _unavailable(f"the platform answered something else: {error}")


def _unavailable(reason: str) -> Failure:
    return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason=reason)
