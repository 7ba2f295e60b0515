"""HTTP client of a gateway, for callers and operators."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import msgspec
import urllib3

from .connection_pool import whole_head_pool

CONNECT_TIMEOUT = 3.0  # seconds
READ_TIMEOUT = 120.0  # seconds
MAX_ATTEMPTS = 6
RETRYABLE_STATUSES = {429, 503}
MAX_RETRY_DELAY = 2.0  # seconds


class ClientError(Exception):
    """Raised for an error response of a gateway, with its status and JSON body."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(f"{body.get('kind', status)}: {body.get('reason', '')}")
        self.status = status
        self.body = body


class Client:
    """Send requests to a gateway, authorised by a bearer key."""

    def __init__(self, *, url: str, key: str, connections: int = 16) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {key}"}
        self._pool = whole_head_pool(connections)

    def request(
        self,
        method: str,
        path: str,
        body: object | None = None,
        headers: dict[str, str] | None = None,
        *,
        retry: bool = False,
    ) -> Any:
        """Send a request and return the JSON body of the response.

        With `retry`, requests that the gateway rejected as not run with status 429 or
        503 are sent again after its `retry_after`. Raises ClientError.
        """
        data = None if body is None else msgspec.json.encode(body)
        for attempt in range(MAX_ATTEMPTS):
            response = self._pool.request(
                method,
                self._url + path,
                body=data,
                headers={**self._headers, **(headers or {})},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=READ_TIMEOUT),
            )
            answer = _decode(response.data)
            if response.status < 300:
                return answer
            retry_after = answer.get("retry_after")
            retryable = (
                response.status in RETRYABLE_STATUSES and answer.get("not_run") is True
            )
            if not retry or not retryable or attempt + 1 == MAX_ATTEMPTS:
                raise ClientError(response.status, answer)
            time.sleep(min(retry_after or 0.1, MAX_RETRY_DELAY))
        raise AssertionError("unreachable")

    def stream(
        self, path: str, body: object, headers: dict[str, str] | None = None
    ) -> Iterator[dict[str, Any]]:
        """Send a request and yield the server-sent events of the response.

        Raises ClientError for an error event or a stream that ends early.
        """
        response = self._pool.request(
            "POST",
            self._url + path,
            body=msgspec.json.encode(body),
            headers={**self._headers, **(headers or {})},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=READ_TIMEOUT),
            preload_content=False,
        )
        if response.status >= 300:
            raise ClientError(response.status, _decode(response.read()))
        ended = False
        buffer = b""
        for chunk in response.stream(None):
            buffer += chunk
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                if event == b"data: [DONE]":
                    ended = True
                elif event.startswith(b"data: "):
                    payload = msgspec.json.decode(event[6:])
                    if "kind" in payload:
                        raise ClientError(200, payload)
                    yield payload
        response.release_conn()
        if not ended:
            raise ClientError(
                200, {"kind": "interrupted", "reason": "stream ended early"}
            )


def _decode(data: bytes) -> dict[str, Any]:
    try:
        answer = msgspec.json.decode(data or b"{}")
    except msgspec.DecodeError:
        return {"reason": data.decode("utf-8", "replace")[:200]}
    return answer if isinstance(answer, dict) else {"answer": answer}
