"""Make calls to the store over HTTP."""

from __future__ import annotations

import asyncio

from ..errors import Failure
from ..http1.client import ClientConnection, connect
from ..http1.idle import IdleConnections
from ..http1.messages import ExchangeError, ExchangeFault, RequestMessage
from .calls import StoreCall, StoreReply, unavailable

# Seconds. An unavailable store drops connections instead of refusing them.
CONNECT_TIMEOUT = 0.5
IDLE_LIMIT = 10.0
MAX_IDLE_CONNECTIONS = 16
# Bytes of a response. Reads ask for 1 MiB at most, and pages of lists have 1 MB of
# values, in base64 and with their keys.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class DirectClient:
    """Store client that calls the store over this process's own connections."""

    def __init__(self, *, address: tuple[str, int]) -> None:
        self._address = address
        self._idle: IdleConnections[None] = IdleConnections(
            max_idle=MAX_IDLE_CONNECTIONS
        )

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call; return its reply, or why there is none."""
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(call.timeout):
                connection = await self._get_connection(call)
                reply = await self._exchange(connection, call)
        except TimeoutError:
            return unavailable(call, f"no answer in {call.timeout:.1f} s")
        except ExchangeError as error:
            return unavailable(call, str(error))
        finally:
            if connection is not None:
                self._idle.release(None, connection, IDLE_LIMIT)
        return reply

    async def _get_connection(self, call: StoreCall) -> ClientConnection:
        connection = None if call.fresh else self._idle.acquire(None)
        return connection or await connect(self._address, timeout=CONNECT_TIMEOUT)

    async def _exchange(
        self, connection: ClientConnection, call: StoreCall
    ) -> StoreReply:
        host, port = self._address
        headers = [(b"Host", f"{host}:{port}".encode())]
        await connection.send(
            RequestMessage(
                method=call.method.encode(),
                target=call.path.encode(),
                headers=headers,
                body=call.body,
            )
        )
        head = await connection.read_head()
        body = bytearray()
        while (part := await connection.read_body_part()) is not None:
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                reason = f"more than {MAX_RESPONSE_BYTES} bytes"
                raise ExchangeError(ExchangeFault.GARBLED, reason, sent=True)
        return StoreReply(status=head.status, body=bytes(body))
