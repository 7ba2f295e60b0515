"""Send one request until a target runs it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..errors import ErrorKind, FailureError, fail
from ..http1.client import ClientLink
from ..http1.messages import LinkError, LinkFault, RequestMessage, ResponseHead
from ..ids import InstanceId
from ..policies.health import next_event_due
from ..routing.routes import Route
from ..routing.targets import TargetEntry
from ..workspaces.access import Caller
from ..workspaces.quotas import RequestToken, quota_failure
from .calls import AnswerInfo, CallInfo, Dispatch
from .dispatcher import Dispatcher

# A request that no target accepted is sent to at most so many: the others of
# its service are as likely to be full.
MOST_TRIES = 3
# Seconds after which a caller may find room at a service that was full.
BUSY_RETRY = 0.25
SERVER_ERROR = 500


@dataclass(kw_only=True, eq=False)
class Running:
    """Hold a request that a target answers; `begun` says that a part has come."""

    target: TargetEntry
    link: ClientLink
    head: ResponseHead
    answer: AnswerInfo
    begun: bool = False


class Attempts:
    """Hold the attempts of one request; each ends its target's work or keeps it.

    `body` is what targets get, `spent` the share of its budget that the
    program has used, `trail` what was decided, in order.
    """

    def __init__(
        self,
        *,
        message: RequestMessage,
        info: CallInfo,
        caller: Caller,
        request_token: RequestToken,
        route: Route,
        deadline: float,
        dispatcher: Dispatcher,
    ) -> None:
        self._message = message
        self._info = info
        self._caller = caller
        self._request_token = request_token
        self._route = route
        self._deadline = deadline
        self._dispatcher = dispatcher
        self._tried: set[InstanceId] = set()
        self._sends = 0
        self.body = message.body
        self.spent = 0.0
        self.trail: list[str] = []

    @property
    def last(self) -> bool:
        """Return whether the next attempt is the last one that is allowed."""
        return self._sends + 1 >= self._route.max_attempts

    async def open(self) -> Running:
        """Send the request until a target runs it."""
        refusals = 0
        while True:
            target, why = self._dispatcher.choose(self._route, self._info, self._tried)
            if target is None or refusals >= MOST_TRIES:
                raise self._unplaced(refusals)
            self._tried.add(target.incarnation)
            self.trail.append(f"{target.instance} chosen: {why}")
            running = await self._send(target)
            if running is not None:
                return running
            refusals += 1

    def close(self, running: Running, *, whole: bool) -> None:
        """End an exchange; one that is not whole stops the target's work."""
        load = self._dispatcher.load
        instance = running.target.incarnation
        load.gave_up(instance, self)
        load.ended(instance)
        if whole:
            load.judged(instance, ok=running.head.status < SERVER_ERROR)
            self._dispatcher.pool.give_back(
                running.target, running.link, running.answer.idle_limit
            )
        else:
            running.link.abort()

    def may_repeat(self, error: LinkError) -> bool:
        """Return whether a request may be sent again after a broken attempt."""
        self.trail.append(f"broken:{error.fault.name}")
        left = self._sends < self._route.max_attempts
        return self._route.repeatable and left and self._dispatcher.retries.take()

    def broke(self, running: Running) -> None:
        """Note that a target broke its answer off."""
        self._dispatcher.load.judged(running.target.incarnation, ok=False)

    def got_first(self, running: Running) -> None:
        """Note the first event of an answer."""
        self._dispatcher.load.got_first(running.target.incarnation, self)

    async def next_part(self, running: Running) -> bytes | None:
        """Wait for more of a stream, which the target owes in time; None at its end.

        What this process does between two parts is no silence of the target.
        """
        load = self._dispatcher.load
        instance = running.target.incarnation
        if running.begun and self._route.event_pause:
            load.expects(instance, self, next_event_due(self._route.event_pause))
        part = await running.link.body_part()
        running.begun = True
        load.heard(instance, self)
        return part

    def _unplaced(self, refusals: int) -> FailureError:
        """Return why no target ran the request; no promise if one may have."""
        if self._sends:
            return fail(ErrorKind.INTERRUPTED, "an attempt broke, no other was left")
        if refusals:
            reason = f"{refusals} targets refused"
            return fail(ErrorKind.OVERLOADED, reason, retry_after=BUSY_RETRY)
        return fail(ErrorKind.NO_TARGET, "no target", retry_after=BUSY_RETRY)

    async def _send(self, target: TargetEntry) -> Running | None:
        """Send the request; None if it has not run there or may be repeated."""
        load = self._dispatcher.load
        load.started(target.incarnation)
        running: Running | None = None
        link: ClientLink | None = None
        token: float | None = None
        try:
            link = await self._dispatcher.pool.take(target)
            await self._admit_send()
            token = self._request_token.spend()
            await link.send(self._outgoing(target))
            self._sends += 1
            self._dispatcher.sent(target, self._route, self._info, self)
            running = await self._await_head(target, link)
            if running is None:
                self._request_token.restore(token)
        except LinkError as error:
            load.judged(target.incarnation, ok=False)
            self._abort(link)
            if not error.sent:
                self._request_token.restore(token)
            if error.sent and not self.may_repeat(error):
                raise fail(ErrorKind.INTERRUPTED, str(error)) from error
        except BaseException:
            self._abort(link)
            raise
        finally:
            if running is None:
                load.gave_up(target.incarnation, self)
                load.ended(target.incarnation)
        return running

    def _abort(self, link: ClientLink | None) -> None:
        if link is not None:
            link.abort()

    async def _await_head(
        self, target: TargetEntry, link: ClientLink
    ) -> Running | None:
        while True:
            head = await link.head()
            answer = self._dispatcher.codec.answer(head)
            if answer.attempt is None or answer.attempt == self._info.attempt:
                break
            self.trail.append("skipped another's answer")
            await link.skip_response()
        if answer.not_run:
            await self._not_run(target, link, head, answer)
            return None
        if answer.coded:
            # Nobody asked for an encoding: these are not the target's bytes.
            raise LinkError(LinkFault.GARBLED, "the body is encoded", sent=True)
        self.trail.append(f"{target.instance}:{head.status}")
        return Running(target=target, link=link, head=head, answer=answer)

    async def _not_run(
        self,
        target: TargetEntry,
        link: ClientLink,
        head: ResponseHead,
        answer: AnswerInfo,
    ) -> None:
        """Take a target's word that it did not run the request."""
        self._sends -= 1
        self.trail.append(f"{target.instance}:not run {head.status}")
        while await link.body_part() is not None:
            pass
        self._dispatcher.pool.give_back(target, link, answer.idle_limit)

    def _outgoing(self, target: TargetEntry) -> RequestMessage:
        left = self._deadline - asyncio.get_running_loop().time()
        dispatch = Dispatch(
            instance=target.instance,
            deadline=left,
            body=self.body,
            urgency=self._urgency(),
            workspace=self._caller.workspace,
        )
        return self._dispatcher.codec.forward(self._message, dispatch)

    async def _admit_send(self) -> None:
        """Check key and limit as the request is sent; it may have waited for long."""
        try:
            refusal = await self._request_token.ensure()
            if refusal is not None:
                raise quota_failure(self._caller, refusal)
            # Last, as a keeper that does not answer takes a while.
            self._dispatcher.access.confirm(
                self._caller, self._info.key_text, public=self._route.public
            )
        except FailureError as error:
            if not self._sends:
                raise
            # An earlier attempt may have run, so nothing can be promised.
            raise fail(ErrorKind.INTERRUPTED, str(error)) from error

    def _urgency(self) -> int | None:
        """Return the urgency at an engine; a workspace's priority goes first."""
        rank = self._caller.priority
        if rank is None:
            rank = self._route.priority
        return self._dispatcher.urgency(self._route, self._info, rank, self.spent)
