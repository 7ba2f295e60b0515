"""Answer each request of callers, or say why not."""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from ..errors import ErrorKind, Failure, FailureError, fail
from ..http1.messages import RequestMessage
from ..http1.server import ClientGone, Reply
from ..ids import AttemptId
from ..ledger.ledger import Ledger
from .calls import CallInfo
from .dispatcher import Dispatcher
from .exchange import Exchange

log = logbook.Logger("request")

# What the way from the caller takes: its deadline began that much earlier.
CALLER_DELAY = 0.004


class RequestHandler:
    """Route requests and turn failures into answers."""

    def __init__(self, *, dispatcher: Dispatcher, ledger: Ledger) -> None:
        self._dispatcher = dispatcher
        self._ledger = ledger

    async def handle(self, message: RequestMessage, reply: Reply) -> None:
        """Answer one request."""
        info: CallInfo | None = None
        try:
            info = self._read(message)
            await self._serve(message, info, reply)
        except FailureError as error:
            await self._refuse(info, reply, error.failure)
        except ClientGone:
            log.debug("{}: the caller left", info.attempt if info else "")
        except Exception as error:
            log.exception("{}: failed", info.attempt if info else "")
            failure = Failure(kind=ErrorKind.INTERNAL, reason=type(error).__name__)
            await self._refuse(info, reply, failure)

    def _read(self, message: RequestMessage) -> CallInfo:
        try:
            return self._dispatcher.codec.read(message)
        except ValueError as error:
            raise fail(ErrorKind.MALFORMED, str(error)) from None

    async def _serve(
        self, message: RequestMessage, info: CallInfo, reply: Reply
    ) -> None:
        started = asyncio.get_running_loop().time()
        routes = self._dispatcher.routes
        if routes is None or not self._ledger.loaded:
            raise fail(ErrorKind.STARTING, "configuration or turns not yet read")
        route = routes.match(info.host, info.path)
        if route is None:
            raise fail(ErrorKind.NOT_FOUND, "no route")
        limit = route.timeout
        if info.deadline is not None:
            limit = min(limit, info.deadline - CALLER_DELAY)
        exchange = Exchange(
            message=message,
            info=info,
            route=route,
            reply=reply,
            deadline=started + limit,
            dispatcher=self._dispatcher,
            ledger=self._ledger,
        )
        try:
            async with asyncio.timeout_at(started + limit):
                await exchange.run()
        except TimeoutError:
            reason = f"no answer in {limit:.3f} s; {' '.join(exchange.trail)}"
            raise fail(ErrorKind.DEADLINE_EXCEEDED, reason) from None

    async def _refuse(
        self, info: CallInfo | None, reply: Reply, failure: Failure
    ) -> None:
        attempt = info.attempt if info else AttemptId("")
        log.info("{}: {} {}", attempt, failure.kind.value, failure.reason)
        if reply.started:
            reply.abort()
            return
        body = msgspec.json.encode(
            {
                "kind": failure.kind.value,
                "reason": failure.reason,
                "not_run": failure.run_state.value,
            }
        )
        headers = self._dispatcher.codec.failure_headers(attempt, failure.wait)
        try:
            await reply.whole(failure.answer.status, headers, body)
        except ClientGone:
            log.debug("{}: the caller left before its answer", attempt)
