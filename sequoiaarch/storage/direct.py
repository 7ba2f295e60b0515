"""Make calls to the store over HTTP."""

from __future__ import annotations

import asyncio

from ..errors import Failure
from ..http1.client import ClientConnection, connect
from ..http1.idle import IdleConnections
from ..http1.messages import ExchangeError, RequestMessage
from .calls import StoreCall, StoreReply, unavailable

# Seconds. A store that is away does not refuse, it stays silent.
CONNECT_TIMEOUT = 0.5
IDLE_LIMIT = 10.0
LINKS_KEPT = 16


class DirectClient:
    """Make calls on connections of this process."""

    def __init__(self, *, address: tuple[str, int]) -> None:
        self._address = address
        self._idle: IdleConnections[None] = IdleConnections(most=LINKS_KEPT)

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Make a call and return its answer, or why there is none."""
        link: ClientConnection | None = None
        try:
            async with asyncio.timeout(call.timeout):
                link = await self._take()
                reply = await self._exchange(link, call)
        except TimeoutError:
            return unavailable(call, f"no answer in {call.timeout:.1f} s")
        except ExchangeError as error:
            return unavailable(call, str(error))
        finally:
            if link is not None:
                self._idle.give_back(None, link, IDLE_LIMIT)
        return reply

    async def _take(self) -> ClientConnection:
        link = self._idle.take(None)
        return link or await connect(self._address, timeout=CONNECT_TIMEOUT)

    async def _exchange(self, link: ClientConnection, call: StoreCall) -> StoreReply:
        host, port = self._address
        headers = [(b"Host", f"{host}:{port}".encode())]
        await link.send(
            RequestMessage(
                method=call.method.encode(),
                target=call.path.encode(),
                headers=headers,
                body=call.body,
            )
        )
        head = await link.head()
        body = bytearray()
        while (part := await link.body_part()) is not None:
            body += part
        return StoreReply(status=head.status, body=bytes(body))
