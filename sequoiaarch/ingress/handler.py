"""Handle callers' requests and log their outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import logbook
import msgspec

from ..errors import ErrorKind, Failure, FailureError, fail
from ..http1.messages import RequestMessage
from ..http1.server_connection import ClientGone, ResponseWriter
from ..ids import AttemptId
from ..ledger.ledger import Ledger
from ..ledger.turns import Turns
from ..observe.events import EventLog
from ..observe.request_metrics import RequestMetrics
from ..routing.routes import Route, RouteTable
from ..workspaces.access import Caller
from ..workspaces.quotas import Quotas
from .calls import RequestInfo
from .dispatcher import Dispatcher
from .exchange import Exchange

log = logbook.Logger("request")

# Assumed network delay of a request, in seconds, which its deadline includes.
CALLER_LATENCY = 0.004
CALLER_LEFT = "caller left"
CLOSED_FOR_MEMORY = "closed for memory"
UNROUTED = "none"


@dataclass(kw_only=True, eq=False)
class _RequestState:
    """State of one request, for its log line."""

    started: float
    info: RequestInfo | None = None
    routes: RouteTable | None = None
    route: Route | None = None
    caller: Caller | None = None
    exchange: Exchange | None = None
    outcome: str = "answered"
    reason: str = ""
    retry_after: float | None = None
    steps: list[str] = field(default_factory=list)


class RequestHandler:
    """Route requests, answer failures with errors, and log each request."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        ledger: Ledger,
        turns: Turns,
        quotas: Quotas,
        metrics: RequestMetrics,
        events: EventLog | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._turns = turns
        self._quotas = quotas
        self._metrics = metrics
        self._events = events

    async def handle(self, message: RequestMessage, writer: ResponseWriter) -> None:
        """Handle one request, and log it however it ends."""
        request = _RequestState(started=asyncio.get_running_loop().time())
        try:
            await self._serve(message, request, writer)
        except FailureError as error:
            await self._send_failure(request, writer, error.failure)
        except (ClientGone, asyncio.CancelledError):
            request.outcome = _lost_outcome(writer)
            raise
        except Exception as error:
            log.exception("unhandled exception in a request")
            failure = Failure(kind=ErrorKind.INTERNAL, reason=repr(error))
            await self._send_failure(request, writer, failure)
        finally:
            self._log_request(request, writer)

    def _read(self, message: RequestMessage) -> RequestInfo:
        try:
            return self._dispatcher.codec.read_request(message)
        except ValueError as error:
            raise fail(ErrorKind.MALFORMED, str(error)) from None

    async def _serve(
        self, message: RequestMessage, request: _RequestState, writer: ResponseWriter
    ) -> None:
        info = request.info = self._read(message)
        writer.held.request = writer.delivery.request = info.attempt
        routes = request.routes = self._dispatcher.routes
        if routes is None:
            raise fail(ErrorKind.STARTING, "the configuration was not yet read")
        route = request.route = routes.match(info.host, info.path)
        if route is None:
            raise fail(ErrorKind.NOT_FOUND, "no route matches the host and path")
        caller = self._dispatcher.access.identify(info.key_text, public=route.public)
        request.caller = caller
        timeout = route.timeout
        if info.deadline is not None:
            timeout = min(timeout, info.deadline - CALLER_LATENCY)
        deadline = request.started + timeout
        exchange = request.exchange = Exchange(
            message=message,
            info=info,
            caller=caller,
            route=route,
            writer=writer,
            deadline=deadline,
            dispatcher=self._dispatcher,
            ledger=self._ledger,
            turns=self._turns,
            quotas=self._quotas,
            metrics=self._metrics,
        )
        try:
            async with asyncio.timeout_at(deadline):
                await exchange.run()
        except TimeoutError:
            exchange.deadline_passed()
            reason = f"no answer in {timeout:.3f} s"
            raise fail(ErrorKind.DEADLINE_EXCEEDED, reason) from None

    async def _send_failure(
        self, request: _RequestState, writer: ResponseWriter, failure: Failure
    ) -> None:
        request.outcome = failure.kind.value
        request.reason = failure.reason
        self._metrics.count_failure(failure.kind.value)
        if writer.started:
            writer.abort(f"{failure.kind.value}: {failure.reason}")
            return
        request.retry_after = failure.retry_delay
        body = msgspec.json.encode(
            {
                "kind": failure.kind.value,
                "reason": failure.reason,
                "not_run": failure.run_state.value,
            }
        )
        attempt = request.info.attempt if request.info else AttemptId("")
        headers = self._dispatcher.codec.failure_headers(attempt, failure.retry_delay)
        try:
            await writer.send_response(failure.response.status, headers, body)
        except ClientGone:
            request.outcome = _lost_outcome(writer)

    def _targets_age(self, exchange: Exchange | None) -> float:
        """Return the age of the target list at the last send, or else now."""
        sent = exchange.targets_age if exchange is not None else None
        return round(self._dispatcher.targets_age() if sent is None else sent, 3)

    def _log_request(self, request: _RequestState, writer: ResponseWriter) -> None:
        """Count the request and write its log line."""
        now = asyncio.get_running_loop().time()
        route = request.route.name if request.route else UNROUTED
        self._metrics.count_response(route, writer.status, now - request.started)
        if self._events is None:
            return
        info = request.info
        self._events.emit(
            "request",
            id=info.attempt if info else "",
            workspace=request.caller.workspace if request.caller else None,
            program=info.program if info else "",
            session=info.session if info else "",
            previous=info.previous if info else None,
            **_resume_fields(info),
            route=route,
            config=request.routes.version if request.routes else None,
            config_age=round(self._dispatcher.access.age(), 3),
            targets_age=self._targets_age(request.exchange),
            store=self._dispatcher.store_path().value,
            status=writer.status,
            outcome=request.outcome,
            reason=request.reason,
            **_target_fields(request.exchange),
            **_exposure_fields(request.exchange),
            **_retry_field(request.retry_after),
            milliseconds=round((now - request.started) * 1000, 1),
            steps=request.exchange.steps if request.exchange else [],
        )


def _resume_fields(info: RequestInfo | None) -> dict[str, str | None]:
    """Return the fields of a request that resumes a stream."""
    if info is None or not info.resumes_stream:
        return {}
    return {"resumes": info.resumes, "last_event": info.last_event}


def _target_fields(exchange: Exchange | None) -> dict[str, str]:
    """Return the service and version of the target that answered, if any."""
    target = exchange.answered_by if exchange is not None else None
    if target is None:
        return {}
    return {"service": target.service, "version": target.version}


def _exposure_fields(exchange: Exchange | None) -> dict[str, str | int]:
    """Return the key and sends of a request that no target served."""
    if exchange is None or exchange.request_key is None:
        return {}
    return {"request_key": exchange.request_key, "sends": exchange.sends}


def _retry_field(retry_after: float | None) -> dict[str, float]:
    """Return the field with the retry time that the caller was told, if any."""
    return {} if retry_after is None else {"retry_after": round(retry_after, 3)}


def _lost_outcome(writer: ResponseWriter) -> str:
    """Return why the connection to the caller was lost."""
    return CLOSED_FOR_MEMORY if writer.closed_for_memory else CALLER_LEFT
