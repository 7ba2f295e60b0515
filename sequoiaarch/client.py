"""Call a gateway, as callers and operators do."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import msgspec
import urllib3

CONNECT_TIMEOUT = 3.0
READ_TIMEOUT = 120.0
TRIES = 6
RETRIED_STATUSES = {429, 503}
RETRY_WAIT_LIMIT = 2.0


class ClientError(Exception):
    """Carry the error that a gateway answered with."""

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(f"{body.get('kind', status)}: {body.get('reason', '')}")
        self.status = status
        self.body = body


class Client:
    """Send requests to a gateway with one bearer key."""

    def __init__(self, *, url: str, key: str, connections: int = 16) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {key}"}
        self._pool = urllib3.PoolManager(
            maxsize=connections, block=False, retries=False
        )

    def request(
        self,
        method: str,
        path: str,
        body: object | None = None,
        headers: dict[str, str] | None = None,
        *,
        retry: bool = False,
    ) -> Any:
        """Send one request and return its JSON answer.

        A patient client asks again when it is told that its request was not
        run and that asking later helps.
        """
        data = None if body is None else msgspec.json.encode(body)
        for attempt in range(TRIES):
            reply = self._pool.request(
                method,
                self._url + path,
                body=data,
                headers={**self._headers, **(headers or {})},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=READ_TIMEOUT),
            )
            answer = _decode(reply.data)
            if reply.status < 300:
                return answer
            wait = answer.get("retry_after")
            again = reply.status in RETRIED_STATUSES and answer.get("not_run") is True
            if not retry or not again or attempt + 1 == TRIES:
                raise ClientError(reply.status, answer)
            time.sleep(min(wait or 0.1, RETRY_WAIT_LIMIT))
        raise AssertionError("unreachable")

    def stream(
        self, path: str, body: object, headers: dict[str, str] | None = None
    ) -> Iterator[dict[str, Any]]:
        """Send one request and yield the events of its answer."""
        reply = self._pool.request(
            "POST",
            self._url + path,
            body=msgspec.json.encode(body),
            headers={**self._headers, **(headers or {})},
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT, read=READ_TIMEOUT),
            preload_content=False,
        )
        if reply.status >= 300:
            raise ClientError(reply.status, _decode(reply.read()))
        ended = False
        buffer = b""
        for piece in reply.stream(None):
            buffer += piece
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                if event == b"data: [DONE]":
                    ended = True
                elif event.startswith(b"data: "):
                    payload = msgspec.json.decode(event[6:])
                    if "kind" in payload:
                        raise ClientError(200, payload)
                    yield payload
        reply.release_conn()
        if not ended:
            raise ClientError(200, {"kind": "interrupted", "reason": "no end"})


def _decode(data: bytes) -> dict[str, Any]:
    try:
        answer = msgspec.json.decode(data or b"{}")
    except msgspec.DecodeError:
        return {"reason": data.decode("utf-8", "replace")[:200]}
    return answer if isinstance(answer, dict) else {"answer": answer}
