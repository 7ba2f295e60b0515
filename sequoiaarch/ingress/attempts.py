"""Send one request to targets until one of them runs it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..errors import ErrorKind, FailureError, fail
from ..http1.client import ClientConnection
from ..http1.memory import HeldBytes
from ..http1.messages import ExchangeError, ExchangeFault, RequestMessage, ResponseHead
from ..ids import InstanceId, SendId
from ..policies.exposures import MAX_ENDS, RequestIdentity, Verdict
from ..policies.health import next_event_due
from ..policies.stream_origins import Origin
from ..reply_timeout import reply_timeout
from ..routing.list_age import ListState
from ..routing.routes import Route
from ..routing.targets import TargetEntry
from ..workspaces.access import Caller
from ..workspaces.quotas import RequestToken, quota_failure
from ..workspaces.token_cache import Token
from .calls import Dispatch, RequestInfo, ResponseInfo
from .dispatcher import Dispatcher
from .resumption import no_target_left

# Targets that may refuse one request; the others are likely full as well.
MAX_REFUSALS = 3
# Seconds after which callers of an overloaded service should retry.
BUSY_RETRY_AFTER = 0.25
OK = 200
REDIRECT = 300
SERVER_ERROR = 500
# Responses of other attempts that are skipped before that of the open one, and their
# bytes: a target may repeat the longest response.
MAX_SKIPPED_RESPONSES = 8
MAX_SKIPPED_BYTES = 16 * 1024 * 1024
# Bytes and seconds for the rest of a response which tells that the request was not run.
MAX_REFUSAL_BYTES = 64 * 1024
MAX_REFUSAL_SECONDS = 0.1
MIN_SKIPPED_BYTES = 64
# The pace of a target is learned from streams of which this process spent at least this
# fraction waiting for the target.
MIN_WAITED_FRACTION = 0.5


class _TargetLeft(Exception):
    """The target has left since it was chosen; nothing was sent."""


@dataclass(kw_only=True, eq=False)
class TargetResponse:
    """Response of a target; `body_started` is set once a part was received."""

    target: TargetEntry
    connection: ClientConnection
    head: ResponseHead
    info: ResponseInfo
    body_started: bool = False


class Attempts:
    """Send one request and track its attempts, including retries.

    `body` is the body to send and `budget_used` the fraction of the program's
    token budget that is used. With an `origin` only targets of its version are tried.
    `steps` lists the routing decisions for the request log.
    """

    def __init__(
        self,
        *,
        message: RequestMessage,
        info: RequestInfo,
        caller: Caller,
        request_token: RequestToken,
        route: Route,
        deadline: float,
        dispatcher: Dispatcher,
        held: HeldBytes,
    ) -> None:
        self._message = message
        self._info = info
        self._caller = caller
        self._request_token = request_token
        self._route = route
        self._deadline = deadline
        self._dispatcher = dispatcher
        self._held = held
        self._tried: set[InstanceId] = set()
        self._identity = identity_of(message, info, caller, route)
        # Whether a target did not answer the request, and targets that were given up.
        self.exposed = False
        self._given_up: list[SendId] = []
        # Whether a target answered that the request failed, or was not run.
        self.failed = False
        # Targets that were sent the request, also those that did not run it.
        self.sends = 0
        self._send_count = 0
        self.body = message.body
        self.home: InstanceId | None = None
        self.origin: Origin | None = None
        self._first_event_at = 0.0
        self._last_event_at = 0.0
        self._events = 0
        self._gaps: list[float] = []
        # Seconds between the first and last event in which the target was waited for.
        self._waited = 0.0
        self._waited_since_event = 0.0
        self.budget_used = 0.0
        # The target whose response was last received.
        self.answered_by: TargetEntry | None = None
        # Age of the list of targets at the last send, in seconds.
        self.targets_age: float | None = None
        self.steps: list[str] = []

    @property
    def is_last(self) -> bool:
        """Return whether no attempt can follow the next one.

        Either the route allows no more, or there is no other target for it.
        """
        if self._send_count + 1 >= self._route.max_attempts:
            return True
        return self._dispatcher.count_untried(self._route, self._tried) <= 1

    async def open(self) -> TargetResponse:
        """Send the request until a target runs it, and return its response."""
        refusals = 0
        while True:
            self.check_ends()
            target, why = self._dispatcher.choose(
                self._route,
                self._info,
                self._tried,
                self.home,
                self.origin,
                exposed=self._dispatcher.exposures.exposed_targets(self._identity),
            )
            if target is None or refusals >= MAX_REFUSALS:
                raise self._placement_failure(refusals)
            self._tried.add(target.incarnation)
            self.steps.append(f"{target.instance} chosen: {why}")
            try:
                response = await self._send(target)
            except _TargetLeft:
                self.steps.append(f"{target.instance} left before the send")
                continue
            if response is not None:
                return response
            refusals += 1

    @property
    def request_key(self) -> str:
        """Return the key of the request, which all attempts of its caller share."""
        return self._identity.key.hex()

    def check_ends(self) -> None:
        """Raise FailureError if the request may not be sent to a further target."""
        exposures = self._dispatcher.exposures
        verdict = exposures.verdict(self._identity)
        if verdict is not None:
            raise self._targets_lost(verdict)
        if exposures.count(self._identity) < MAX_ENDS - 1:
            return
        if self._dispatcher.count_targets(self._route) <= 1:
            raise self._not_sent("the last target is kept for others", None)

    async def tell_unanswered(self) -> None:
        """Tell the other gateways of targets that did not answer the request.

        The caller may come back to any of them as soon as it has its answer.
        """
        if self.exposed:
            self._count_given_up()
            if self._identity.common:
                await self._dispatcher.end_checks.check_broken(self._identity)
            await self._dispatcher.exposures.tell(self._identity)

    def tell_unanswered_later(self) -> None:
        """Tell the other gateways in the background."""
        if self.exposed:
            self._count_given_up()
            self._dispatcher.exposures.tell_later(self._identity)

    def close(self, response: TargetResponse, *, complete: bool) -> None:
        """End an exchange; abort its connection unless the response is complete."""
        if complete:
            self._dispatcher.exposures.answered(
                self._identity,
                response.target.incarnation,
                ok=response.head.status < SERVER_ERROR,
            )
        else:
            self._abandoned(response.target, answering=response.body_started)
        load = self._dispatcher.load
        instance = response.target.incarnation
        load.discard(instance, self)
        load.request_ended(instance)
        placements = self._dispatcher.placements
        if placements is not None and self._events > 1:
            seconds = self._last_event_at - self._first_event_at
            # The rest is the time of a slow caller or of the store.
            if self._waited >= MIN_WAITED_FRACTION * seconds:
                placements.record_events(instance, seconds, self._events - 1)
                placements.record_gaps(instance, self._gaps)
        if complete:
            load.record_result(instance, ok=response.head.status < SERVER_ERROR)
            self._dispatcher.pool.release(
                response.target, response.connection, response.info.idle_limit
            )
            if response.head.status >= SERVER_ERROR:
                self._dispatcher.end_checks.watch(response.target, response.connection)
        else:
            response.connection.abort()

    def may_repeat(self, error: ExchangeError) -> bool:
        """Take a retry from the budget after a fault; return whether to retry."""
        self.steps.append(f"broken:{error.fault.name}")
        sends_left = self._send_count < self._route.max_attempts
        return self._route.repeatable and sends_left and self._dispatcher.retries.take()

    def response_broken(self, response: TargetResponse) -> None:
        """Record that a target's response ended early."""
        self._broken(response.target)
        self._dispatcher.load.record_result(response.target.incarnation, ok=False)

    def first_event_received(self, response: TargetResponse) -> None:
        """Record the first event of a response."""
        self._dispatcher.load.first_event_received(response.target.incarnation, self)

    def event_received(self) -> None:
        """Record the time of an event of the response."""
        now = asyncio.get_running_loop().time()
        if not self._events:
            self._first_event_at = now
        else:
            self._waited += self._waited_since_event
            self._gaps.append(now - self._last_event_at)
        self._waited_since_event = 0.0
        self._last_event_at = now
        self._events += 1

    async def next_part(self, response: TargetResponse) -> bytes | None:
        """Return the next part of a stream, or None at its end.

        The target's deadline for the part starts at this call, so that it excludes
        the time in which this process handled the previous one.
        """
        load = self._dispatcher.load
        instance = response.target.incarnation
        if response.body_started and self._route.event_pause:
            load.expect_within(instance, self, next_event_due(self._route.event_pause))
        started_at = asyncio.get_running_loop().time()
        part = await response.connection.read_body_part()
        self._waited_since_event += asyncio.get_running_loop().time() - started_at
        response.body_started = True
        load.data_received(instance, self)
        return part

    def reading_paused(self, response: TargetResponse) -> None:
        """Expect nothing of a target while its response is not read."""
        self._dispatcher.load.discard(response.target.incarnation, self)

    def _placement_failure(self, refusals: int) -> FailureError:
        """Return the failure when no target is left to run the request."""
        if self._send_count:
            return fail(
                ErrorKind.INTERRUPTED, "an attempt broke and no other target is left"
            )
        if refusals:
            reason = f"{refusals} targets refused"
            return fail(ErrorKind.OVERLOADED, reason, retry_after=BUSY_RETRY_AFTER)
        if self.origin is not None:
            return no_target_left(self.origin)
        return fail(
            ErrorKind.NO_TARGET, "no target is available", retry_after=BUSY_RETRY_AFTER
        )

    async def _send(self, target: TargetEntry) -> TargetResponse | None:
        """Send the request; return None if another target should be tried."""
        load = self._dispatcher.load
        load.request_started(target.incarnation)
        response: TargetResponse | None = None
        connection: ClientConnection | None = None
        token: Token | None = None
        exposures = self._dispatcher.exposures
        sent = False
        try:
            connection = await self._dispatcher.pool.acquire(target)
            connection.count_for(self._held)
            await self._admit(target)
            await self._authorise_send()
            while self._dispatcher.targets_too_old:
                await self._renew_targets()
                await self._authorise_send()
            if not self._dispatcher.may_send(target, self.origin):
                raise _TargetLeft
            token = self._request_token.spend()
            if token is not None:
                self.steps.append(self._request_token.describe(token))
            self.steps.append(self._dispatcher.describe_send(target))
            self.targets_age = self._dispatcher.targets_age()
            sent = True
            self.sends += 1
            # Before the send, as it may time out while the request is written.
            self._send_count += 1
            await connection.send(self._outgoing_request(target))
            self._dispatcher.request_sent(target, self._route, self._info, self)
            response = await self._await_head(target, connection)
            if response is None:
                self._request_token.restore(token)
        except ExchangeError as error:
            load.record_result(target.incarnation, ok=False)
            self._abort(connection)
            if error.sent:
                self._broken(target)
            else:
                if sent:
                    self._send_count -= 1
                self._request_token.restore(token)
                exposures.not_run(self._identity, target.incarnation)
            if error.sent:
                await self.tell_unanswered()
            if error.sent and not self.may_repeat(error):
                raise fail(ErrorKind.INTERRUPTED, str(error)) from error
        except BaseException:
            if sent:
                self._abandoned(target)
            else:
                exposures.not_run(self._identity, target.incarnation)
            self._abort(connection)
            raise
        finally:
            if response is None:
                load.discard(target.incarnation, self)
                load.request_ended(target.incarnation)
        return response

    async def _admit(self, target: TargetEntry) -> None:
        """Raise FailureError if too many targets may have ended under the request."""
        verdict = await self._dispatcher.exposures.admit(
            self._identity, target.incarnation
        )
        if verdict is not None:
            raise self._targets_lost(verdict)

    def _targets_lost(self, verdict: Verdict) -> FailureError:
        now = asyncio.get_running_loop().time()
        reason = f"targets did not answer it: {verdict.describe(now)}"
        return self._not_sent(reason, verdict.retry_after)

    def _not_sent(self, reason: str, retry_after: float | None) -> FailureError:
        """Return the failure of a request that is kept from further targets."""
        self.exposed = True
        if self._send_count:
            # An earlier send may have run, so it can't be reported as not run.
            return fail(ErrorKind.INTERRUPTED, reason)
        return fail(ErrorKind.TARGETS_LOST, reason, retry_after=retry_after)

    def _broken(self, target: TargetEntry) -> None:
        """Record that the exchange with a target broke."""
        if self._dispatcher.exposures.broken(self._identity, target.incarnation):
            self.exposed = True

    def _abandoned(self, target: TargetEntry, *, answering: bool = False) -> None:
        """Record that a target is not waited for any longer."""
        send = self._dispatcher.exposures.abandoned(
            self._identity, target.incarnation, answering=answering
        )
        if send is not None:
            self.exposed = True
            self._given_up.append(send.send)

    def _count_given_up(self) -> None:
        """Count the targets that did not answer in time."""
        for send in self._given_up:
            self._dispatcher.exposures.timed_out(self._identity, send)
        self._given_up.clear()

    def _abort(self, connection: ClientConnection | None) -> None:
        if connection is not None:
            connection.abort()

    async def _await_head(
        self, target: TargetEntry, connection: ClientConnection
    ) -> TargetResponse | None:
        sent_at = asyncio.get_running_loop().time()
        head, info = await self._read_own_head(connection)
        exposures = self._dispatcher.exposures
        self.failed = info.not_run or head.status >= SERVER_ERROR
        if info.not_run:
            exposures.refused(self._identity, target.incarnation)
            await self._finish_not_run(target, connection, head, info)
            return None
        exposures.target_responded(target.incarnation, sent_at)
        if info.coded:
            # No content encoding was requested.
            raise _garbled("the response has an unexpected content encoding")
        if not info.signed and OK <= head.status < REDIRECT:
            raise _garbled("the response is not signed")
        self.answered_by = target
        self.steps.append(f"{target.instance}:{head.status}")
        return TargetResponse(
            target=target, connection=connection, head=head, info=info
        )

    async def _read_own_head(
        self, connection: ClientConnection
    ) -> tuple[ResponseHead, ResponseInfo]:
        """Return the head of the response that names this attempt.

        Targets may send additional responses, complete or not, with another attempt
        or none. Nothing tells what these belong to.
        """
        own = self._info.attempt or None
        left = MAX_SKIPPED_BYTES
        for _ in range(MAX_SKIPPED_RESPONSES):
            head = await connection.read_head()
            info = self._dispatcher.codec.read_response(head)
            if info.attempt == own:
                return head, info
            other = "without an attempt" if info.attempt is None else "of another"
            self.steps.append(f"skipped response {other}: {head.status}")
            left -= await connection.skip_response(left)
        raise _garbled("too many additional responses")

    async def _finish_not_run(
        self,
        target: TargetEntry,
        connection: ClientConnection,
        head: ResponseHead,
        info: ResponseInfo,
    ) -> None:
        """Read the rest of a response that reports the request as not run.

        The head is enough to know it. The connection is closed unless the rest follows.
        """
        self._send_count -= 1
        self.steps.append(f"{target.instance}:not run {head.status}")
        try:
            async with reply_timeout(MAX_REFUSAL_SECONDS):
                complete = await _skip_body(connection, MAX_REFUSAL_BYTES)
        except (ExchangeError, TimeoutError):
            complete = False
        if complete:
            self._dispatcher.pool.release(target, connection, info.idle_limit)
            self._dispatcher.end_checks.watch(target, connection)
        else:
            connection.abort()

    def _outgoing_request(self, target: TargetEntry) -> RequestMessage:
        remaining = self._deadline - asyncio.get_running_loop().time()
        dispatch = Dispatch(
            instance=target.instance,
            deadline=remaining,
            body=self.body,
            urgency=self._urgency(),
            workspace=self._caller.workspace,
        )
        return self._dispatcher.codec.forward(self._message, dispatch)

    async def _renew_targets(self) -> None:
        """Read the list of targets again; raises FailureError if it stays too old."""
        age = self._dispatcher.targets_age()
        state = await self._dispatcher.renew_targets()
        self.steps.append(f"the list was {age:.2f} s old: {state.value}")
        if state is not ListState.TOO_OLD:
            return
        age = self._dispatcher.targets_age()
        reason = f"the targets are known as of {age:.1f} s ago"
        if self._send_count:
            raise fail(ErrorKind.INTERRUPTED, reason)
        raise fail(ErrorKind.NO_TARGET, reason, retry_after=BUSY_RETRY_AFTER)

    async def _authorise_send(self) -> None:
        """Check the API key and the quota again immediately before a send."""
        try:
            refusal = await self._request_token.ensure()
            if refusal is not None:
                raise quota_failure(self._caller, refusal)
            # After the quota, as waiting for that may take long.
            self._dispatcher.access.confirm(
                self._caller, self._info.key_text, public=self._route.public
            )
        except FailureError as error:
            if not self._send_count:
                raise
            # An earlier attempt may have run, so it can't be reported as not run.
            raise fail(ErrorKind.INTERRUPTED, str(error)) from error

    def _urgency(self) -> int | None:
        """Return the urgency by the priority of the workspace, or else of the route."""
        priority = self._caller.priority
        if priority is None:
            priority = self._route.priority
        return self._dispatcher.urgency(
            self._route, self._info, priority, self.budget_used
        )


def identity_of(
    message: RequestMessage, info: RequestInfo, caller: Caller, route: Route
) -> RequestIdentity:
    """Return what all attempts of a request share.

    Without the session: a program may repeat a request in another line of its turns.
    Without the route's name: a new configuration may lead the path to another route.
    """
    parts = (
        route.host.lower().encode(),
        message.method,
        message.target,
        info.program.encode(),
        (info.previous or "").encode(),
        message.body,
    )
    return RequestIdentity(
        workspace=caller.workspace,
        common=not info.program and not message.body,
        parts=parts,
    )


async def _skip_body(connection: ClientConnection, limit: int) -> bool:
    """Read the rest of a body; return whether it has at most so many bytes."""
    while (part := await connection.read_body_part()) is not None:
        # Each part costs time, also a short one.
        limit -= max(len(part), MIN_SKIPPED_BYTES)
        if limit < 0:
            return False
    return True


def _garbled(reason: str) -> ExchangeError:
    return ExchangeError(ExchangeFault.GARBLED, reason, sent=True)
