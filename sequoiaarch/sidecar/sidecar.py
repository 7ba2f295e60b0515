"""Put the parts of a sidecar together and answer its peers."""

from __future__ import annotations

import asyncio

import logbook

from ..config.documents import PolicySpecification, TargetDocument, TargetType
from ..daemon.base import Core, curve_keys
from ..engines.http import HttpEngine, HttpService
from ..errors import ErrorKind, Failure, FailureError, NotRun
from ..home.homes import Homes, Opening
from ..home.parts import HomeParts
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
from .memory import EngineMemory
from .queue import TargetQueue

log = logbook.Logger("sidecar")

ENGINE_THREADS = 64
SERVICE_THREADS = 64
STOP_CHECK = 0.02
HOST_CHECK = 0.5


class Sidecar:
    """Stand beside one target: queue, executor, homes and shard keeper."""

    def __init__(self, *, core: Core, target: TargetName) -> None:
        self._core = core
        self._target = target
        self._responder: Responder | None = None
        self._executor: Executor | None = None
        self._clients: list[HttpEngine | HttpService] = []
        self._memory: EngineMemory | None = None
        self._queue: TargetQueue | None = None
        self._runner: CallRunner | None = None
        self._dispatched = 0
        self._homes = Homes(
            me=target,
            catalogue=core.catalogue,
            membership=core.membership,
            links=core.links,
            shards=core.shards,
            limits=core.settings.limits,
            metrics=core.metrics,
            decisions=core.decisions,
            refuse_new=self._refuse_new,
        )
        self._keeper = ShardKeeper(
            local=core.local,
            shards=core.shards,
            mine=self._kept_shards,
            renew_config=core.follower.append_snapshot_if_due,
            limits=core.settings.limits,
        )

    @property
    def homes(self) -> Homes:
        """Return the programs at home here."""
        return self._homes

    @property
    def memory(self) -> EngineMemory | None:
        """Return the memory of the engine, if an engine stands behind."""
        return self._memory

    @property
    def ready(self) -> bool:
        """Return whether calls can be answered."""
        return self._runner is not None and not self._homes.draining

    def _document(self) -> TargetDocument | None:
        return self._core.catalogue.target(self._target)

    def _slots(self) -> int:
        document = self._document()
        return document.spec.slots if document else 1

    def _cache_tokens(self) -> int:
        document = self._document()
        return document.spec.cache_tokens if document else 0

    def _policy(self) -> PolicySpecification:
        document = self._document()
        return self._core.catalogue.policy_for(document.labels if document else {})

    def _kept_shards(self) -> list[int]:
        shards = self._core.shards
        return [
            shard
            for shard in range(self._core.settings.shards)
            if self._target in shards.keepers(shard)[:1]
        ]

    def _refuse_new(self) -> Failure | None:
        return self._queue.refusal_of_new() if self._queue else None

    def _occupancy(self, running: int) -> Occupancy:
        memory = self._memory
        document = self._document()
        return Occupancy(
            running=running,
            slots=self._slots(),
            running_tokens=memory.running if memory else 0,
            kept_tokens=memory.kept if memory else 0,
            cache_tokens=self._cache_tokens(),
            export_tokens=document.spec.export_tokens if document else 0,
            growth=memory.growth() if memory else 0,
        )

    def load(self) -> Load:
        """Return the load as it is now."""
        queue = self._queue
        memory = self._memory
        return Load(
            target=self._target,
            running=queue.running if queue else 0,
            queued=queue.queued if queue else 0,
            queued_tokens=queue.queued_tokens if queue else 0,
            slots=self._slots(),
            cache_free=memory.free if memory else 0,
            programs=len(self._homes.programs),
            call_seconds=self._executor.call_seconds if self._executor else 0.0,
            draining=self._homes.draining,
        )

    def bind(self) -> str:
        """Open the socket for peers and return its address."""
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
        """Wait for the target's document, then take work."""
        await self._core.follower.wait_ready()
        document = self._document()
        while document is None:
            log.warning("No Target document names {} yet.", self._target)
            await asyncio.sleep(0.2)
            document = self._document()
        self._build(document)
        self._core.tasks.append(asyncio.create_task(self._keeper.run()))
        self._core.tasks.append(asyncio.create_task(self._homes.run()))
        self._core.tasks.append(asyncio.create_task(self._free_left()))
        self._core.tasks.append(asyncio.create_task(self._watch_host()))
        log.info("Target {} takes work.", self._target)

    def _build(self, document: TargetDocument) -> None:
        core = self._core
        limits = core.settings.limits
        engine = None
        service = None
        if document.spec.type is TargetType.ENGINE:
            engine = HttpEngine(url=document.spec.url, threads=ENGINE_THREADS)
            self._clients.append(engine)
            self._memory = EngineMemory(
                engine=engine,
                capacity=self._cache_tokens,
                policy=self._policy,
                shards=core.shards,
                metrics=core.metrics,
                decisions=core.decisions,
            )
            core.tasks.append(asyncio.create_task(self._memory.run(limits.cache_check)))
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
            memory=self._memory,
            queue=self._queue,
            metrics=core.metrics,
            tracing=core.tracing,
        )
        parts = HomeParts(
            me=self._target,
            homes=self._homes,
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
        self._runner = CallRunner(parts=parts)

    async def _watch_host(self) -> None:
        """Drain when the host list shows the own host as leaving."""
        left = False
        while True:
            leaving = self._core.membership.leaving(self._target)
            if leaving != left:
                left = leaving
                await self._homes.drain(leaving)
            await asyncio.sleep(HOST_CHECK)

    async def _free_left(self) -> None:
        while True:
            program, cause = await self._homes.left.get()
            if self._memory is not None:
                await self._memory.forget(program, cause)

    async def handle(self, request: Request, send: Send) -> Reply:
        """Answer one request of a peer."""
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
                found = self._core.decisions.of(request.program)
                return ExplainReply(decisions=found)
            case TraceRequest():
                return TraceReply(spans=self._core.tracing.spans(request.trace_id))
            case DrainRequest():
                asyncio.get_running_loop().create_task(self._homes.drain(request.drain))
                return Accepted(load=self.load())
            case HandoverRequest():
                return _accepted(await self._homes.hand_over(request.program))
        return await self._handle_work(request, send)

    async def _handle_work(self, request: Request, send: Send) -> Reply:
        if self._runner is None or self._executor is None:
            return Failed(failure=_not_ready(self._target))
        match request:
            case CallRequest():
                return await self._runner.handle(request, send)
            case DispatchRequest():
                return await self._dispatch(request, send)
            case CreateRequest() | SpawnRequest() | EndRequest() | RecoverRequest():
                return await self._change(request)
        failure = Failure(kind=ErrorKind.MALFORMED, reason="not a sidecar's request")
        return Failed(failure=failure)

    async def _dispatch(self, request: DispatchRequest, send: Send) -> Reply:
        """Run an attempt for a home elsewhere."""
        executor = self._executor
        assert executor is not None
        if self._homes.draining:
            failure = Failure(
                kind=ErrorKind.STOPPING,
                reason=f"target {self._target} takes no new work",
            )
            return Failed(failure=failure, load=self.load())
        pieces: asyncio.Queue[bytes | None] = asyncio.Queue()

        async def forward() -> None:
            while (piece := await pieces.get()) is not None:
                await send(Chunk(data=piece))

        forwarding = asyncio.create_task(forward())
        self._dispatched += 1
        try:
            result = await executor.run(request, pieces.put_nowait)
        finally:
            self._dispatched -= 1
            pieces.put_nowait(None)
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

    async def _change(self, request: ProgramOrder) -> Reply:
        try:
            return _accepted(await self._carry_out(request))
        except FailureError as error:
            return Failed(failure=error.failure, load=self.load())

    async def _carry_out(self, request: ProgramOrder) -> Failure | None:
        if isinstance(request, CreateRequest):
            opening = Opening(program=request.program, spec=request.spec, create=True)
            await self._homes.open(opening)
            return None
        if isinstance(request, SpawnRequest):
            opening = _taking_over(request.parent, request)
            parent = await self._homes.open(opening)
            return await self._homes.spawn(parent, request.child, request.budget)
        if isinstance(request, RecoverRequest):
            opening = _taking_over(request.program, request)
            running = await self._homes.open(opening)
            return await self._homes.recover(running, request.pending)
        opening = _taking_over(request.program, request)
        running = await self._homes.open(opening)
        return await self._homes.end(running, request.reason)

    async def stop(self) -> None:
        """Leave in an orderly way: finish what runs and release programs."""
        timeout = self._core.settings.limits.drain_timeout
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        await self._homes.drain(True)
        while loop.time() < deadline and self._busy():
            await asyncio.sleep(STOP_CHECK)
        if self._busy():
            log.warning("Stopping after {} s with work under way.", timeout)

    def _busy(self) -> bool:
        running = self._runner.running if self._runner else 0
        programs = any(one.busy for one in self._homes.programs.values())
        return bool(running or self._dispatched or programs)

    def close(self) -> None:
        """Close the socket for peers and the connections to the target."""
        if self._responder is not None:
            self._responder.close()
        for client in self._clients:
            client.close()


def _taking_over(program: ProgramId, request: ProgramOrder) -> Opening:
    """Return how to open a program whose home the asker may have found silent."""
    return Opening(
        program=program,
        spec=request.spec,
        previous_home=request.silent_home,
        previous_silent=request.silent_home is not None,
    )


def _accepted(failure: Failure | None) -> Reply:
    return Accepted() if failure is None else Failed(failure=failure)


def _not_ready(target: TargetName) -> Failure:
    return Failure(
        kind=ErrorKind.STOPPING,
        reason=f"target {target} does not take work yet",
        not_run=NotRun.YES,
    )
