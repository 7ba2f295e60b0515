"""Proxy one request to a target and its response back to the caller."""

from __future__ import annotations

import asyncio

from ..errors import ErrorKind, FailureError, fail
from ..fleet.placed_turns import ENGINES_FULL
from ..fleet.stream_origins import HERE
from ..http1.events import EventSplitter, EventTooLongError, event_data
from ..http1.messages import ExchangeError, ExchangeFault, RequestMessage, ResponseHead
from ..http1.server_connection import ResponseWriter
from ..ids import TurnId
from ..ledger.ledger import Ledger
from ..ledger.records import MAX_ID_BYTES
from ..ledger.terms import BudgetVerdict, LookupFailure, TurnStart, TurnTerms
from ..ledger.turns import OpenTurn, TurnEngine, TurnRefusal, Turns
from ..observe.request_metrics import RequestMetrics
from ..policies.program_placement import ProgramDemand
from ..policies.retries import attempt_timeout
from ..policies.stream_origins import StreamKeys
from ..reply_timeout import ReplyTimeout, reply_timeout
from ..routing.routes import Route, RouteKind
from ..routing.targets import TargetEntry
from ..workspaces.access import Caller
from ..workspaces.directory import scoped
from ..workspaces.quotas import Quotas, RequestToken
from .attempts import Attempts, TargetResponse
from .calls import RequestInfo
from .dispatcher import Dispatcher
from .resumption import RESUME_MARGIN, find_resumption, keys_of

# Seconds after which to retry while the store is unreachable, directly and through
# peers. With a shorter delay callers would use up their retries during the outage.
STORE_RETRY_AFTER = 1.0
# Seconds; shorter than the `RELEASE_TIMEOUT` of the ledger, within which another
# process releases unused tokens of a budget.
HELD_RETRY_AFTER = 0.5
# Seconds after its deadline in which a turn can still report its end.
TURN_LIFETIME_MARGIN = 2.0
# Tokens; the budget of retained turns whose request sets none.
UNLIMITED_BUDGET = 2**52
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Parts of a whole response, and bytes in each further one: the parser needs as much
# time for an empty part as for a long one.
MAX_SMALL_PARTS = 4096
MIN_PART_BYTES = 64
# Events of one part after which other tasks run.
EVENTS_AT_ONCE = 100
# Seconds between checks whether a paused response body may be read on.
PAUSE_INTERVAL = 0.05
OK = 200
# Labels of resumed streams: who knew where they began.
ELSEWHERE = "elsewhere"
UNKNOWN = "no"
REDIRECT = 300


class Exchange:
    """Serve one request, and always release its target at the end."""

    def __init__(
        self,
        *,
        message: RequestMessage,
        info: RequestInfo,
        caller: Caller,
        route: Route,
        writer: ResponseWriter,
        deadline: float,
        dispatcher: Dispatcher,
        ledger: Ledger,
        turns: Turns,
        quotas: Quotas,
        metrics: RequestMetrics,
    ) -> None:
        self._metrics = metrics
        # Program ids are unique only within a workspace.
        self._program = scoped(caller.workspace, info.program)
        self._started = asyncio.get_running_loop().time()
        self._message = message
        self._info = info
        self._caller = caller
        self._route = route
        self._writer = writer
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._turns = turns
        self._deadline = deadline
        # Bytes of the response and of the program's history, as counted.
        self._held = writer.held
        self._collected = 0
        self._attempt_scope: ReplyTimeout | None = None
        self._request_token = RequestToken(quotas=quotas, caller=caller)
        self._attempts = Attempts(
            message=message,
            info=info,
            caller=caller,
            request_token=self._request_token,
            route=route,
            deadline=deadline,
            dispatcher=dispatcher,
            held=writer.held,
        )

    @property
    def steps(self) -> list[str]:
        """Return the routing decisions so far, for the request log."""
        return self._attempts.steps

    @property
    def request_key(self) -> str | None:
        """Return the key of a request that no target served, for the log."""
        attempts = self._attempts
        return attempts.request_key if attempts.exposed or attempts.failed else None

    @property
    def sends(self) -> int:
        """Return how many targets were sent the request, for the request log."""
        return self._attempts.sends

    @property
    def answered_by(self) -> TargetEntry | None:
        """Return the target whose response was last received, for the request log."""
        return self._attempts.answered_by

    @property
    def targets_age(self) -> float | None:
        """Return the age of the target list at the last send; None if not sent."""
        return self._attempts.targets_age

    async def run(self) -> None:
        """Answer the request; raises FailureError if no target completes it."""
        try:
            await self._run()
        finally:
            self._count_collected(0)
            self._request_token.close()

    def _count_collected(self, size: int) -> None:
        """Set the number of bytes collected for the request."""
        change = size - self._collected
        if change:
            self._collected = size
            self._held.add(change)

    def deadline_passed(self) -> None:
        """Tell the other gateways if a target did not answer until the deadline."""
        self._attempts.tell_unanswered_later()

    async def _run(self) -> None:
        self._attempts.check_ends()
        if self._route.kind is not RouteKind.STREAM:
            await self._forward_whole()
            return
        if self._info.resumes_stream:
            await self._resume()
        if self._info.budget is not None:
            await self._run_turn(self._info.budget)
        elif self._route.retained:
            await self._run_turn(UNLIMITED_BUDGET)
        else:
            await self._forward_stream(None)

    async def _resume(self) -> None:
        """Find the version at which a broken stream goes on; raises FailureError."""
        try:
            resumption = await find_resumption(
                self._dispatcher, self._route, self._stream_keys()
            )
        except FailureError:
            self._metrics.count_resumed(UNKNOWN)
            raise
        self._metrics.count_resumed(HERE if resumption.source == HERE else ELSEWHERE)
        self._attempts.origin = resumption.origin
        self.steps.append(resumption.describe())

    async def _run_turn(self, budget: int) -> None:
        """Run a turn of a program within its token budget."""
        demand = None
        # A stream that goes on is neither refused nor placed as a new program: only
        # targets of its version can run it, and its caller is waiting for the rest.
        if not self._info.resumes_stream:
            demand = self._dispatcher.demand(self._route, self._info, self._caller)
            if demand is None or not demand.refusable:
                await self._check_admission()
        turn = await self._open_turn(budget, demand)
        self._attempts.home = turn.engine.home
        if demand is not None:
            self.steps.append(_placement_step(turn.engine))
        self.steps.append(f"spent {turn.spent} of {budget} tokens, kept {turn.where}")
        self._attempts.budget_used = turn.spent / max(1, budget)
        self._request_token.begins = (
            turn.spent == 0 and turn.history is None and not self._info.resumes_stream
        )
        if turn.history is not None:
            self._attempts.body = turn.history.prompt + self._message.body
            self._count_collected(len(self._attempts.body))
            self.steps.append(f"history of {len(turn.history.prompt)} bytes")
        output = _TurnOutput(turn=turn)
        try:
            await self._forward_stream(output)
        finally:
            output.close()

    async def _open_turn(self, budget: int, demand: ProgramDemand | None) -> OpenTurn:
        """Reserve tokens for the turn and load its history; raises FailureError."""
        route, info = self._route, self._info
        workspace = self._caller.workspace
        _check_length(scoped(workspace, TurnId(info.attempt)), "attempt")
        _check_length(self._program, "program")
        remaining = self._deadline - asyncio.get_running_loop().time()
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
            lifetime=remaining + TURN_LIFETIME_MARGIN,
            retry_if_full=self._retry_if_full(demand),
        )
        opened = await self._turns.open(start, demand)
        if isinstance(opened, LookupFailure | BudgetVerdict):
            raise _turn_failure(opened, info.previous)
        return opened

    def _retry_if_full(self, demand: ProgramDemand | None) -> float | None:
        """Return when a new program should retry if no owner can be asked."""
        if demand is None or not demand.refusable or self._info.previous is not None:
            return None
        return self._dispatcher.start_retry_after(self._route, self._info)

    async def _check_admission(self) -> None:
        """Refuse the first request of a new program while all engines are full."""
        info = self._info
        if info.previous is not None:
            return
        retry_after = self._dispatcher.start_retry_after(self._route, info)
        if retry_after is None or await self._ledger.may_know_program(self._program):
            return
        raise fail(ErrorKind.OVERLOADED, ENGINES_FULL, retry_after=retry_after)

    async def _forward_whole(self) -> None:
        """Forward a response once it is complete, and retry it where allowed."""
        self._dispatcher.retries.request_started()
        while True:
            try:
                async with reply_timeout(self._attempt_timeout()) as scope:
                    self._attempt_scope = scope
                    response, body = await self._whole_response()
            except ExchangeError as error:
                await self._check_retry(error)
                continue
            except TimeoutError:
                timeout = ExchangeError(ExchangeFault.TIMEOUT, sent=True)
                await self._check_retry(timeout)
                continue
            await self._send_whole(response, body)
            return

    def _attempt_timeout(self) -> float | None:
        """Return the timeout of an attempt, in seconds, or None if it is the last.

        Covers idempotent requests whose response is lost while the connection
        stays open.
        """
        if self._route.kind is not RouteKind.SAFE or self._attempts.is_last:
            return None
        return attempt_timeout(self._route.latency_target)

    async def _whole_response(self) -> tuple[TargetResponse, bytearray]:
        response = await self._attempts.open()
        return response, await self._collect(response)

    async def _collect(self, response: TargetResponse) -> bytearray:
        """Read the whole body of a response and release its target."""
        complete = False
        try:
            body = await self._read_body(response)
            complete = True
        except ExchangeError:
            self._attempts.response_broken(response)
            raise
        finally:
            self._attempts.close(response, complete=complete)
        return body

    async def _send_whole(self, response: TargetResponse, body: bytearray) -> None:
        head = response.head
        await self._writer.send_response(
            head.status, response.info.headers, body, head.reason
        )

    async def _read_body(self, response: TargetResponse) -> bytearray:
        memory = self._held.memory
        memory.collecting[self._held] = None
        before = self._collected
        body = bytearray()
        parts = 0
        try:
            while (part := await response.connection.read_body_part()) is not None:
                body += part
                parts += 1
                if parts > MAX_SMALL_PARTS + len(body) // MIN_PART_BYTES:
                    raise fail(ErrorKind.TARGET_FAILED, "the parts are too small")
                if len(body) > MAX_RESPONSE_BYTES:
                    raise fail(ErrorKind.TARGET_FAILED, "the response is too large")
                self._count_collected(before + len(body))
                if memory.must_wait(self._held):
                    await self._pause_reading(response)
        except BaseException:
            self._count_collected(before)
            raise
        finally:
            memory.collecting.pop(self._held, None)
        return body

    async def _pause_reading(self, response: TargetResponse) -> None:
        """Wait until there is memory to collect more of the response.

        The timeout of the attempt would blame the target, and a retry would need as
        much memory. The caller's deadline still applies.
        """
        self._attempts.reading_paused(response)
        if self._attempt_scope is not None:
            self._attempt_scope.cancel()
        while self._held.memory.must_wait(self._held):
            await asyncio.sleep(PAUSE_INTERVAL)

    async def _check_retry(self, error: ExchangeError) -> None:
        """Raise FailureError unless a request with a broken response may be retried."""
        await self._attempts.tell_unanswered()
        if not self._attempts.may_repeat(error):
            raise fail(ErrorKind.INTERRUPTED, str(error)) from error

    async def _forward_stream(self, output: _TurnOutput | None) -> None:
        """Forward a stream of events as they arrive."""
        response = await self._attempts.open()
        if not OK <= response.head.status < REDIRECT:
            await self._forward_refusal(response)
            return
        complete = False
        try:
            complete = await self._forward_events(response, output)
        except ExchangeError as error:
            self._attempts.response_broken(response)
            self.steps.append(f"broken:{error.fault.name}")
            await self._attempts.tell_unanswered()
            if not self._writer.started:
                raise fail(ErrorKind.INTERRUPTED, str(error)) from error
            self._writer.abort(str(error))
        finally:
            self._attempts.close(response, complete=complete)

    async def _forward_refusal(self, response: TargetResponse) -> None:
        """Forward the response of a target that did not start a stream.

        The target is released first: while a caller doesn't read, it would count as
        silent and its slot as used.
        """
        try:
            body = await self._collect(response)
        except ExchangeError as error:
            self.steps.append(f"broken:{error.fault.name}")
            await self._attempts.tell_unanswered()
            raise fail(ErrorKind.INTERRUPTED, str(error)) from error
        await self._send_whole(response, body)

    async def _forward_events(
        self, response: TargetResponse, output: _TurnOutput | None
    ) -> bool:
        """Forward a stream and return True; raises ExchangeError or FailureError."""
        if output is not None:
            output.turn.engine.ran_at = response.target.incarnation
        if output is not None and self._route.retained:
            output.turn.write_index()
        splitter = EventSplitter()
        history = self._collected
        while (part := await self._attempts.next_part(response)) is not None:
            for number, event in enumerate(_split(splitter, part), 1):
                self._attempts.event_received()
                await self._forward_event(response, output, event)
                if number % EVENTS_AT_ONCE == 0:
                    await asyncio.sleep(0)
            produced = output.size if output is not None else 0
            self._count_collected(history + produced + splitter.pending_bytes)
        if splitter.pending_bytes:
            raise fail(ErrorKind.INTERRUPTED, "the stream ended inside an event")
        if output is not None:
            if not output.produced:
                await self._confirm_budget(output)
            if self._route.retained:
                await self._commit(output)
        if not self._writer.started:
            await self._start_response(response)
        await self._writer.end()
        return True

    async def _forward_event(
        self, response: TargetResponse, output: _TurnOutput | None, event: bytes
    ) -> None:
        if not self._writer.started:
            self._attempts.first_event_received(response)
            now = asyncio.get_running_loop().time()
            self._metrics.observe_first_event(self._route.name, now - self._started)
        if output is not None:
            if not self._writer.started:
                await self._confirm_budget(output)
            tokens = self._dispatcher.event_tokens(response.target.service)
            if not await output.spend(tokens):
                self.steps.append("budget: the turn's reserved tokens are used up")
                raise fail(ErrorKind.INTERRUPTED, "the budget is used up")
            output.append(event_data(event) + b"\n")
        if not self._writer.started:
            self._record_origin(response.target)
            await self._start_response(response)
        await self._writer.send_part(event)

    def _stream_keys(self) -> StreamKeys:
        return keys_of(self._message, self._info, self._caller)

    def _record_origin(self, target: TargetEntry) -> None:
        """Remember where the stream began, for a caller that resumes it.

        Raises FailureError if the target may not be of the version that began it.
        """
        origin = self._dispatcher.origin_at(target)
        if self._attempts.origin not in (None, origin):
            raise fail(ErrorKind.INTERRUPTED, "the target changed its version")
        if not self._route.resumable:
            return
        remaining = self._deadline - asyncio.get_running_loop().time()
        self._dispatcher.origins.record(
            self._stream_keys(),
            origin,
            remaining + RESUME_MARGIN,
        )

    async def _confirm_budget(self, output: _TurnOutput) -> None:
        """Wait until tokens are durably reserved, before the first event is sent."""
        verdict = await output.turn.verdict()
        if verdict is not BudgetVerdict.FITS:
            self.steps.append(f"budget:{verdict.value}")
            raise fail(ErrorKind.INTERRUPTED, f"the budget is {verdict.value}")

    async def _commit(self, output: _TurnOutput) -> None:
        started_at = asyncio.get_running_loop().time()
        await output.commit(self._message.body)
        seconds = asyncio.get_running_loop().time() - started_at
        self._metrics.observe_commit(seconds)
        self.steps.append(f"committed in {seconds * 1000:.1f} ms")

    async def _start_response(self, response: TargetResponse) -> None:
        head = response.head
        await self._writer.start(
            ResponseHead(
                status=head.status, reason=head.reason, headers=response.info.headers
            )
        )


class _TurnOutput:
    """Collect the output of a turn, and reserve its tokens before it is sent."""

    def __init__(self, *, turn: OpenTurn) -> None:
        self.turn = turn
        self.produced: list[bytes] = []
        self.size = 0
        self._pending_cover: asyncio.Task[bool] | None = None

    def append(self, data: bytes) -> None:
        """Append output to commit at the end of the turn."""
        self.produced.append(data)
        self.size += len(data)

    async def spend(self, tokens: int) -> bool:
        """Count tokens sent to the caller; return False if they aren't reserved.

        More tokens are requested in the background one event ahead, so that events
        don't wait for the log.
        """
        pending, self._pending_cover = self._pending_cover, None
        covered = (
            await pending if pending is not None else await self.turn.cover(tokens)
        )
        if not covered:
            return False
        self.turn.record_usage(tokens)
        if not self.turn.covers(tokens):
            self._pending_cover = asyncio.create_task(self.turn.cover(tokens))
        return True

    async def commit(self, request_body: bytes) -> None:
        """Append the turn to the history; return once it is durable."""
        # A reservation that is still pending would find the turn closed and report
        # its delegate as lost. It isn't needed once the stream has ended.
        pending, self._pending_cover = self._pending_cover, None
        if pending is not None:
            pending.cancel()
            await asyncio.wait([pending])
        await self.turn.commit(request_body, b"".join(self.produced))

    def close(self) -> None:
        """Release the unused tokens of the turn."""
        if self._pending_cover is not None:
            self._pending_cover.cancel()
        self.turn.close()


def _split(splitter: EventSplitter, part: bytes) -> list[bytes]:
    """Return the events that a part completes; raises ExchangeError."""
    try:
        return splitter.feed(part)
    except EventTooLongError as error:
        raise ExchangeError(ExchangeFault.GARBLED, str(error), sent=True) from None


def _placement_step(engine: TurnEngine) -> str:
    """Return where a program was placed, for the request log."""
    if engine.home is None:
        return "not placed, no owner of engines answered"
    if engine.placed_by is None:
        return f"stays on {engine.home}"
    return f"placed on {engine.home} by {engine.placed_by}"


def _check_length(name: str, kind: str) -> None:
    """Raise FailureError if an id is too long for the key of a record."""
    size = len(name.encode())
    if size > MAX_ID_BYTES:
        reason = f"the id of the {kind} has {size} bytes, at most {MAX_ID_BYTES} are"
        raise fail(ErrorKind.MALFORMED, f"{reason} allowed")


def _turn_failure(refusal: TurnRefusal, previous: TurnId | None) -> FailureError:
    if refusal is BudgetVerdict.EXCEEDED:
        return fail(ErrorKind.BUDGET_EXHAUSTED, "the budget of the program is used up")
    if refusal is LookupFailure.ABSENT:
        return fail(ErrorKind.NOT_FOUND, f"no turn {previous}")
    if isinstance(refusal, LookupFailure):
        return fail(
            ErrorKind.LOG_UNAVAILABLE, refusal.value, retry_after=STORE_RETRY_AFTER
        )
    retry_after = (
        HELD_RETRY_AFTER if refusal is BudgetVerdict.HELD else STORE_RETRY_AFTER
    )
    reason = f"the budget is {refusal.value}"
    return fail(ErrorKind.LOG_UNAVAILABLE, reason, retry_after=retry_after)
