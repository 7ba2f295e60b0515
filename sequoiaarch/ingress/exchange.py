"""Carry one request to a target and its answer back."""

from __future__ import annotations

import asyncio

from ..errors import ErrorKind, FailureError, fail
from ..http1.events import EventSplitter, event_data
from ..http1.messages import LinkError, LinkFault, RequestMessage, ResponseHead
from ..http1.server_link import Reply
from ..ids import TurnId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, Lookup, TurnStart, TurnTerms
from ..ledger.turns import OpenTurn, TurnRefusal, Turns
from ..observe.request_metrics import RequestMetrics
from ..policies.retries import attempt_timeout
from ..routing.routes import Route, RouteKind
from ..workspaces.access import Caller
from ..workspaces.directory import scoped
from ..workspaces.quotas import Quotas, RequestToken
from .attempts import Attempts, Running
from .calls import CallInfo
from .dispatcher import Dispatcher

# Seconds after which to come back when neither this process nor a peer reaches
# the store. Such an outage takes seconds; callers who come back sooner use up
# their tries before it ends.
STORE_RETRY = 1.0
# Another process returns what it doesn't use of a budget within a second.
HELD_RETRY = 0.5
# A turn may end so much after its deadline and still tell its end. Seconds.
TURN_MARGIN = 2.0
# A turn that names no budget is kept like any other. Tokens, beyond all programs.
NO_BUDGET = 2**52
BODY_LIMIT = 16 * 1024 * 1024
OK = 200
REDIRECT = 300


class Exchange:
    """Carry one request; whatever happens, its target is let go at the end."""

    def __init__(
        self,
        *,
        message: RequestMessage,
        info: CallInfo,
        caller: Caller,
        route: Route,
        reply: Reply,
        deadline: float,
        dispatcher: Dispatcher,
        ledger: Ledger,
        turns: Turns,
        quotas: Quotas,
        metrics: RequestMetrics,
    ) -> None:
        self._metrics = metrics
        # Equal ids of two workspaces are two programs.
        self._program = scoped(caller.workspace, info.program)
        self._started = asyncio.get_running_loop().time()
        self._message = message
        self._info = info
        self._caller = caller
        self._route = route
        self._reply = reply
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._turns = turns
        self._deadline = deadline
        self._request_token = RequestToken(quotas=quotas, caller=caller)
        self._attempts = Attempts(
            message=message,
            info=info,
            caller=caller,
            request_token=self._request_token,
            route=route,
            deadline=deadline,
            dispatcher=dispatcher,
        )

    @property
    def trail(self) -> list[str]:
        """Return what was decided, in order."""
        return self._attempts.trail

    async def run(self) -> None:
        """Answer the request; raises FailureError before an answer started."""
        try:
            await self._run()
        finally:
            self._request_token.close()

    async def _run(self) -> None:
        if self._route.kind is not RouteKind.STREAM:
            await self._plain()
        elif self._info.budget is not None:
            await self._turn(self._info.budget)
        elif self._route.retained:
            await self._turn(NO_BUDGET)
        else:
            await self._stream(None)

    async def _turn(self, budget: int) -> None:
        """Run a turn of a program inside its budget."""
        await self._check_start()
        turn = await self._open_turn(budget)
        self.trail.append(f"spent {turn.spent} of {budget} tokens, kept {turn.where}")
        self._attempts.spent = turn.spent / max(1, budget)
        self._request_token.begins = turn.spent == 0 and turn.history is None
        if turn.history is not None:
            self._attempts.body = turn.history.prompt + self._message.body
            self.trail.append(f"history of {len(turn.history.prompt)} bytes")
        output = _TurnOutput(turn=turn)
        try:
            await self._stream(output)
        finally:
            output.close()

    async def _open_turn(self, budget: int) -> OpenTurn:
        """Reserve the turn and find what it continues, or say why not."""
        route, info = self._route, self._info
        workspace = self._caller.workspace
        left = self._deadline - asyncio.get_running_loop().time()
        start = TurnStart(
            terms=TurnTerms(
                turn=scoped(workspace, TurnId(info.attempt)),
                program=self._program,
                budget=budget,
                most=info.most_tokens,
                retention=route.retention,
                session=info.session,
            ),
            previous=info.previous and scoped(workspace, info.previous),
            kept=route.retained,
            lifetime=left + TURN_MARGIN,
        )
        opened = await self._turns.open(start)
        if isinstance(opened, Lookup | BudgetVerdict):
            raise _turn_failure(opened, info.previous)
        return opened

    async def _check_start(self) -> None:
        """Refuse the first request of a program while engines are full."""
        info = self._info
        if info.previous is not None:
            return
        retry_after = self._dispatcher.refuse_start(self._route, info)
        if retry_after is None or await self._ledger.knows_program(self._program):
            return
        raise fail(
            ErrorKind.OVERLOADED, "all engines are full", retry_after=retry_after
        )

    async def _plain(self) -> None:
        """Pass on an answer once it is whole."""
        self._dispatcher.retries.request_started()
        while True:
            try:
                async with asyncio.timeout(self._patience()):
                    running, body = await self._whole_answer()
            except LinkError as error:
                self._after_break(error)
                continue
            except TimeoutError:
                self._after_break(LinkError(LinkFault.TIMEOUT, sent=True))
                continue
            head = running.head
            await self._reply.whole(
                head.status, running.answer.headers, body, head.reason
            )
            return

    def _patience(self) -> float | None:
        """Return the seconds to wait before another target is asked, if any.

        A target can lose an answer and keep the connection open. Without this
        the caller of an idempotent request waits until its deadline.
        """
        if self._route.kind is not RouteKind.SAFE or self._attempts.last:
            return None
        return attempt_timeout(self._route.latency_target)

    async def _whole_answer(self) -> tuple[Running, bytes]:
        running = await self._attempts.open()
        whole = False
        try:
            body = await self._whole_body(running)
            whole = True
        except LinkError:
            self._attempts.broke(running)
            raise
        finally:
            self._attempts.close(running, whole=whole)
        return running, body

    async def _whole_body(self, running: Running) -> bytes:
        body = bytearray()
        while (part := await running.link.body_part()) is not None:
            body += part
            if len(body) > BODY_LIMIT:
                raise fail(ErrorKind.TARGET_FAILED, "the answer is too large")
        return bytes(body)

    def _after_break(self, error: LinkError) -> None:
        """Return if the request may be sent again after a broken answer."""
        if not self._attempts.may_repeat(error):
            raise fail(ErrorKind.INTERRUPTED, str(error)) from error

    async def _stream(self, output: _TurnOutput | None) -> None:
        """Pass events on as they come."""
        running = await self._attempts.open()
        whole = False
        try:
            if not OK <= running.head.status < REDIRECT:
                body = await self._whole_body(running)
                whole = True
                head = running.head
                headers = running.answer.headers
                await self._reply.whole(head.status, headers, body, head.reason)
                return
            whole = await self._relay(running, output)
        except LinkError as error:
            self._attempts.broke(running)
            self.trail.append(f"broken:{error.fault.name}")
            if not self._reply.started:
                raise fail(ErrorKind.INTERRUPTED, str(error)) from error
            self._reply.abort()
        finally:
            self._attempts.close(running, whole=whole)

    async def _relay(self, running: Running, output: _TurnOutput | None) -> bool:
        """Relay a stream; return whether it was whole."""
        if output is not None and self._route.retained:
            output.turn.announce()
        splitter = EventSplitter()
        while (part := await self._attempts.next_part(running)) is not None:
            for event in splitter.feed(part):
                await self._pass_on(running, output, event)
        if splitter.pending:
            raise fail(ErrorKind.INTERRUPTED, "the stream ended inside an event")
        if output is not None:
            if not output.produced:
                await self._confirm(output)
            if self._route.retained:
                await self._commit(output)
        if not self._reply.started:
            await self._start(running)
        await self._reply.end()
        return True

    async def _pass_on(
        self, running: Running, output: _TurnOutput | None, event: bytes
    ) -> None:
        if not self._reply.started:
            self._attempts.got_first(running)
            now = asyncio.get_running_loop().time()
            self._metrics.first_event(self._route.name, now - self._started)
        if output is not None:
            if not self._reply.started:
                await self._confirm(output)
            tokens = self._dispatcher.event_tokens(running.target.service)
            if not await output.hand_out(tokens):
                self.trail.append("budget: what the turn holds is used up")
                raise fail(ErrorKind.INTERRUPTED, "the budget is used up")
            output.produced.append(event_data(event) + b"\n")
        if not self._reply.started:
            await self._start(running)
        await self._reply.part(event)

    async def _confirm(self, output: _TurnOutput) -> None:
        """Let the first event out only when its tokens are durably reserved."""
        verdict = await output.turn.verdict()
        if verdict is not BudgetVerdict.FITS:
            self.trail.append(f"budget:{verdict.value}")
            raise fail(ErrorKind.INTERRUPTED, f"the budget is {verdict.value}")

    async def _commit(self, output: _TurnOutput) -> None:
        begun = asyncio.get_running_loop().time()
        await output.commit(self._message.body)
        taken = asyncio.get_running_loop().time() - begun
        self._metrics.committed(taken)
        self.trail.append(f"committed in {taken * 1000:.1f} ms")

    async def _start(self, running: Running) -> None:
        head = running.head
        await self._reply.start(
            ResponseHead(
                status=head.status, reason=head.reason, headers=running.answer.headers
            )
        )


class _TurnOutput:
    """Collect what a turn hands out, and have its tokens covered before that."""

    def __init__(self, *, turn: OpenTurn) -> None:
        self.turn = turn
        self.produced: list[bytes] = []
        self._asking: asyncio.Task[bool] | None = None

    async def hand_out(self, tokens: int) -> bool:
        """Count tokens that go to the caller; False if they are not covered.

        More is asked for beside the stream, one event before it is needed, so
        that no event waits for the log.
        """
        asked, self._asking = self._asking, None
        covered = await asked if asked is not None else await self.turn.cover(tokens)
        if not covered:
            return False
        self.turn.hand_out(tokens)
        if not self.turn.covers(tokens):
            self._asking = asyncio.create_task(self.turn.cover(tokens))
        return True

    async def commit(self, given: bytes) -> None:
        """Make the turn part of the history; return once that is durable."""
        # A request for more that outlives the turn finds it ended, and the delegate
        # would be taken for lost. The stream has ended, so nothing asks anew.
        asking, self._asking = self._asking, None
        if asking is not None:
            asking.cancel()
            await asyncio.wait([asking])
        await self.turn.commit(given, b"".join(self.produced))

    def close(self) -> None:
        """Return what the turn did not use."""
        if self._asking is not None:
            self._asking.cancel()
        self.turn.close()


def _turn_failure(refusal: TurnRefusal, previous: TurnId | None) -> FailureError:
    if refusal is BudgetVerdict.EXCEEDED:
        return fail(ErrorKind.BUDGET_EXHAUSTED, "the budget of the program is spent")
    if refusal is Lookup.ABSENT:
        return fail(ErrorKind.NOT_FOUND, f"no turn {previous}")
    if isinstance(refusal, Lookup):
        return fail(ErrorKind.LOG_UNAVAILABLE, refusal.value, retry_after=STORE_RETRY)
    retry_after = HELD_RETRY if refusal is BudgetVerdict.HELD else STORE_RETRY
    reason = f"the budget is {refusal.value}"
    return fail(ErrorKind.LOG_UNAVAILABLE, reason, retry_after=retry_after)
