"""Assemble a sidecar from its components and serve requests of its peers."""

from __future__ import annotations

import asyncio

import logbook

from ..config.documents import PolicySpecification, TargetDocument, TargetType
from ..daemon.base import Core, curve_keys
from ..engines.http import HttpEngine, HttpService
from ..errors import ErrorKind, Failure, FailureError, NotRun
from ..home.context import HomeContext
from ..home.local_programs import LocalPrograms, OpenRequest
from ..home.runner import CallRunner
from ..ids import ProgramId, TargetName
from ..policies.admission import Occupancy
from ..shards.keeper import ShardKeeper
from ..wire.links import Responder, Send
from ..wire.messages import (
    Accepted,
    CallRequest,
    Chunk,
    ConfigRequest,
    CreateRequest,
    DispatchRequest,
    DrainRequest,
    EndRequest,
    Executed,
    ExplainReply,
    ExplainRequest,
    Failed,
    HandoverRequest,
    HistoryRequest,
    Load,
    LoadReply,
    LoadRequest,
    ProgramOrder,
    RecoverRequest,
    Reply,
    Request,
    SpawnRequest,
    StateRequest,
    SubmitRequest,
    TraceReply,
    TraceRequest,
)
from .executor import Executor
from .prefix_cache import PrefixCacheManager
from .queue import TargetQueue

log = logbook.Logger("sidecar")

ENGINE_THREADS = 64
SERVICE_THREADS = 64
STOP_POLL_INTERVAL = 0.02  # seconds
HOST_POLL_INTERVAL = 0.5  # seconds


class Sidecar:
    """Queue and run the calls of one target, host programs and keep shards."""

    def __init__(self, *, core: Core, target: TargetName) -> None:
        self._core = core
        self._target = target
        self._responder: Responder | None = None
        self._executor: Executor | None = None
        self._clients: list[HttpEngine | HttpService] = []
        self._prefix_cache: PrefixCacheManager | None = None
        self._queue: TargetQueue | None = None
        self._runner: CallRunner | None = None
        self._open_dispatches = 0
        self._local_programs = LocalPrograms(
            own_target=target,
            catalogue=core.catalogue,
            membership=core.membership,
            links=core.links,
            shards=core.shards,
            limits=core.settings.limits,
            metrics=core.metrics,
            decisions=core.decisions,
            new_program_refusal=self._new_program_refusal,
        )
        self._keeper = ShardKeeper(
            local=core.local_shards,
            shards=core.shards,
            own_shards=self._own_shards,
            renew_config=core.config_follower.append_snapshot_if_due,
            limits=core.settings.limits,
        )

    @property
    def local_programs(self) -> LocalPrograms:
        """Return the programs whose home is this sidecar."""
        return self._local_programs

    @property
    def prefix_cache(self) -> PrefixCacheManager | None:
        """Return the prefix cache of the engine, None if the target is a service."""
        return self._prefix_cache

    @property
    def ready(self) -> bool:
        """Return whether calls are accepted."""
        return self._runner is not None and not self._local_programs.draining

    def _target_document(self) -> TargetDocument | None:
        return self._core.catalogue.target(self._target)

    def _slots(self) -> int:
        document = self._target_document()
        return document.spec.slots if document else 1

    def _cache_tokens(self) -> int:
        document = self._target_document()
        return document.spec.cache_tokens if document else 0

    def _policy(self) -> PolicySpecification:
        document = self._target_document()
        return self._core.catalogue.policy_for(document.labels if document else {})

    def _own_shards(self) -> list[int]:
        shards = self._core.shards
        return [
            shard
            for shard in range(self._core.settings.shards)
            if self._target in shards.keepers(shard)[:1]
        ]

    def _new_program_refusal(self) -> Failure | None:
        return self._queue.new_program_refusal() if self._queue else None

    def _occupancy(self, running: int) -> Occupancy:
        prefix_cache = self._prefix_cache
        document = self._target_document()
        return Occupancy(
            running=running,
            slots=self._slots(),
            running_tokens=prefix_cache.running_tokens if prefix_cache else 0,
            kept_tokens=prefix_cache.total_tokens if prefix_cache else 0,
            cache_tokens=self._cache_tokens(),
            export_tokens=document.spec.export_tokens if document else 0,
            growth=prefix_cache.expected_growth() if prefix_cache else 0,
        )

    def load(self) -> Load:
        """Return the present load of the target."""
        queue = self._queue
        prefix_cache = self._prefix_cache
        return Load(
            target=self._target,
            running=queue.running if queue else 0,
            queued=queue.queued if queue else 0,
            queued_tokens=queue.queued_tokens if queue else 0,
            slots=self._slots(),
            cache_free=prefix_cache.free_tokens if prefix_cache else 0,
            programs=len(self._local_programs.programs),
            call_seconds=self._executor.call_seconds if self._executor else 0.0,
            draining=self._local_programs.draining,
        )

    def bind(self) -> str:
        """Bind the socket for peers and return its address."""
        settings = self._core.settings
        self._responder = Responder(
            context=self._core.context,
            address=settings.inner.address,
            handler=self.handle,
            keys=curve_keys(settings),
        )
        self._core.tasks.append(asyncio.create_task(self._responder.run()))
        return self._responder.address

    async def start(self) -> None:
        """Wait for the configuration of the target, then start to accept work."""
        await self._core.config_follower.wait_ready()
        document = self._target_document()
        while document is None:
            log.warning("No Target document names {} yet.", self._target)
            await asyncio.sleep(0.2)
            document = self._target_document()
        self._create_components(document)
        self._core.tasks.append(asyncio.create_task(self._keeper.run()))
        self._core.tasks.append(asyncio.create_task(self._local_programs.run()))
        self._core.tasks.append(asyncio.create_task(self._free_departed()))
        self._core.tasks.append(asyncio.create_task(self._follow_host_state()))
        log.info("Target {} accepts work.", self._target)

    def _create_components(self, document: TargetDocument) -> None:
        core = self._core
        limits = core.settings.limits
        engine = None
        service = None
        if document.spec.type is TargetType.ENGINE:
            engine = HttpEngine(url=document.spec.url, threads=ENGINE_THREADS)
            self._clients.append(engine)
            self._prefix_cache = PrefixCacheManager(
                engine=engine,
                capacity=self._cache_tokens,
                policy=self._policy,
                shards=core.shards,
                metrics=core.metrics,
                decisions=core.decisions,
            )
            core.tasks.append(
                asyncio.create_task(self._prefix_cache.run(limits.cache_check))
            )
        else:
            service = HttpService(url=document.spec.url, threads=SERVICE_THREADS)
            self._clients.append(service)
        self._queue = TargetQueue(
            slots=self._slots,
            occupancy=self._occupancy,
            policy=self._policy,
            limit=limits.queue_length,
            metrics=core.metrics,
        )
        self._executor = Executor(
            engine=engine,
            service=service,
            prefix_cache=self._prefix_cache,
            queue=self._queue,
            metrics=core.metrics,
            tracing=core.tracing,
        )
        context = HomeContext(
            own_target=self._target,
            local_programs=self._local_programs,
            executor=self._executor,
            catalogue=core.catalogue,
            membership=core.membership,
            links=core.links,
            shards=core.shards,
            limits=limits,
            metrics=core.metrics,
            tracing=core.tracing,
            load=self.load,
        )
        self._runner = CallRunner(context=context)

    async def _follow_host_state(self) -> None:
        """Drain while the host list shows the own host as leaving."""
        host_leaving = False
        while True:
            leaving = self._core.membership.leaving(self._target)
            if leaving != host_leaving:
                host_leaving = leaving
                await self._local_programs.drain(leaving)
            await asyncio.sleep(HOST_POLL_INTERVAL)

    async def _free_departed(self) -> None:
        while True:
            program, cause = await self._local_programs.departures.get()
            if self._prefix_cache is not None:
                await self._prefix_cache.free_program(program, cause)

    async def handle(self, request: Request, send: Send) -> Reply:
        """Handle one request of a peer."""
        match request:
            case LoadRequest():
                return LoadReply(load=self.load())
            case ConfigRequest():
                return self._core.config_reply()
            case SubmitRequest():
                return await self._keeper.submit(request)
            case StateRequest():
                return await self._keeper.states(request)
            case HistoryRequest():
                return await self._keeper.history(request)
            case ExplainRequest():
                decisions = self._core.decisions.of(request.program)
                return ExplainReply(decisions=decisions)
            case TraceRequest():
                return TraceReply(spans=self._core.tracing.spans(request.trace_id))
            case DrainRequest():
                asyncio.get_running_loop().create_task(
                    self._local_programs.drain(request.drain)
                )
                return Accepted(load=self.load())
            case HandoverRequest():
                return _order_reply(
                    await self._local_programs.hand_over(request.program)
                )
        return await self._handle_program_request(request, send)

    async def _handle_program_request(self, request: Request, send: Send) -> Reply:
        if self._runner is None or self._executor is None:
            return Failed(failure=_not_ready_failure(self._target))
        match request:
            case CallRequest():
                return await self._runner.handle(request, send)
            case DispatchRequest():
                return await self._dispatch(request, send)
            case CreateRequest() | SpawnRequest() | EndRequest() | RecoverRequest():
                return await self._handle_order(request)
        failure = Failure(
            kind=ErrorKind.MALFORMED, reason="a sidecar does not handle this request"
        )
        return Failed(failure=failure)

    async def _dispatch(self, request: DispatchRequest, send: Send) -> Reply:
        """Run an attempt for a program whose home is another sidecar."""
        executor = self._executor
        assert executor is not None
        if self._local_programs.draining:
            failure = Failure(
                kind=ErrorKind.STOPPING,
                reason=f"target {self._target} is draining",
            )
            return Failed(failure=failure, load=self.load())
        chunks: asyncio.Queue[bytes | None] = asyncio.Queue()

        async def forward() -> None:
            while (chunk := await chunks.get()) is not None:
                await send(Chunk(data=chunk))

        forwarding = asyncio.create_task(forward())
        self._open_dispatches += 1
        try:
            result = await executor.run(request, chunks.put_nowait)
        finally:
            self._open_dispatches -= 1
            chunks.put_nowait(None)
            await forwarding
        if isinstance(result, Failure):
            return Failed(failure=result, load=self.load())
        return Executed(
            status=result.status,
            body=result.body,
            content_type=result.content_type,
            prompt_tokens=result.prompt_tokens,
            answer_tokens=result.answer_tokens,
            cached_tokens=result.cached_tokens,
            seconds=result.seconds,
            load=self.load(),
        )

    async def _handle_order(self, request: ProgramOrder) -> Reply:
        try:
            return _order_reply(await self._execute_order(request))
        except FailureError as error:
            return Failed(failure=error.failure, load=self.load())

    async def _execute_order(self, request: ProgramOrder) -> Failure | None:
        if isinstance(request, CreateRequest):
            open_request = OpenRequest(
                program=request.program, spec=request.spec, create=True
            )
            await self._local_programs.open(open_request)
            return None
        if isinstance(request, SpawnRequest):
            open_request = _takeover_request(request.parent, request)
            parent = await self._local_programs.open(open_request)
            return await self._local_programs.spawn(
                parent, request.child, request.budget
            )
        if isinstance(request, RecoverRequest):
            open_request = _takeover_request(request.program, request)
            program = await self._local_programs.open(open_request)
            return await self._local_programs.recover(program, request.pending)
        open_request = _takeover_request(request.program, request)
        program = await self._local_programs.open(open_request)
        return await self._local_programs.end(program, request.reason)

    async def stop(self) -> None:
        """Drain the sidecar: finish open calls and release its programs."""
        timeout = self._core.settings.limits.drain_timeout
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        await self._local_programs.drain(True)
        while loop.time() < deadline and self._has_open_calls():
            await asyncio.sleep(STOP_POLL_INTERVAL)
        if self._has_open_calls():
            log.warning("Stopping after {} s with work under way.", timeout)

    def _has_open_calls(self) -> bool:
        open_calls = self._runner.running_calls if self._runner else 0
        any_busy = any(
            program.busy for program in self._local_programs.programs.values()
        )
        return bool(open_calls or self._open_dispatches or any_busy)

    def close(self) -> None:
        """Close the socket for peers and the connections to the target."""
        if self._responder is not None:
            self._responder.close()
        for client in self._clients:
            client.close()


def _takeover_request(program: ProgramId, request: ProgramOrder) -> OpenRequest:
    """Return the request to open a program whose home may be known as silent."""
    return OpenRequest(
        program=program,
        spec=request.spec,
        previous_home=request.silent_home,
        previous_silent=request.silent_home is not None,
    )


def _order_reply(failure: Failure | None) -> Reply:
    return Accepted() if failure is None else Failed(failure=failure)


def _not_ready_failure(target: TargetName) -> Failure:
    return Failure(
        kind=ErrorKind.STOPPING,
        reason=f"target {target} is still starting",
        not_run=NotRun.YES,
    )
