"""Answer operators and the platform's probes over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from ..config.documents import TargetDocument
from ..config.store import Change, Publication, PublishVerdict, VersionedDocument
from ..daemon.base import Core
from ..errors import ErrorKind, Failure, FailureError, fail
from ..ids import ProgramId, RecordId
from ..observe.traces import render_tree
from ..wire.messages import (
    Accepted,
    Decision,
    DrainRequest,
    EndRequest,
    ExplainReply,
    ExplainRequest,
    Failed,
    Load,
    LoadReply,
    LoadRequest,
    SpanData,
    TraceReply,
    TraceRequest,
)
from .bridge import Bridge
from .requests import DrainBody, KeyTable, PublishBody, decode_body, read_body
from .responses import json_response
from .router import Router

PEER_TIMEOUT = 2.0
MAX_BODY = 4 * 1024 * 1024


class TargetView(msgspec.Struct, frozen=True, kw_only=True):
    """Show one target to operators."""

    name: str
    type: str
    model: str | None
    service: str | None
    host: str
    data_centre: str
    takes_work: bool
    answers: bool
    load: Load | None


class TargetList(msgspec.Struct, frozen=True, kw_only=True):
    """Show all targets."""

    targets: list[TargetView]


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """Show how a gateway sees the system."""

    host: str
    data_centre: str
    config_version: int
    targets: int
    targets_taking_work: int
    open_calls: int
    log_away: bool


class DocumentList(msgspec.Struct, frozen=True, kw_only=True):
    """Show the documents in force with their versions."""

    version: int
    documents: dict[str, VersionedDocument]


class PublicationList(msgspec.Struct, frozen=True, kw_only=True):
    """Show the latest publications and what became of them."""

    publications: list[PublishVerdict]


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Show the decisions for one program."""

    program: str
    decisions: list[Decision]


class TraceView(msgspec.Struct, frozen=True, kw_only=True):
    """Show one trace as spans and as the lines of a tree."""

    spans: list[SpanData]
    tree: list[str]


class OperatorApi:
    """Answer status, targets, drain, configuration, explain and traces."""

    def __init__(
        self,
        *,
        core: Core,
        router: Router,
        bridge: Bridge,
        ready: Callable[[], bool],
    ) -> None:
        self._core = core
        self._router = router
        self._bridge = bridge
        self._ready = ready

    def rules(self, keys: KeyTable) -> list[Rule]:
        """Return the routes, all but the probes behind operators' keys."""
        routes: list[tuple[str, str, Callable[..., Response]]] = [
            ("GET", "/v1/admin/status", self._status),
            ("GET", "/v1/admin/targets", self._targets),
            ("POST", "/v1/admin/drain", self._drain),
            ("GET", "/v1/admin/config", self._config),
            ("GET", "/v1/admin/config/history", self._history),
            ("POST", "/v1/admin/config", self._publish),
            ("GET", "/v1/admin/programs/<program>", self._program),
            ("DELETE", "/v1/admin/programs/<program>", self._end),
            ("GET", "/v1/admin/programs/<program>/explain", self._explain),
            ("GET", "/v1/admin/traces/<trace>", self._trace),
        ]

        def guarded(handler: Callable[..., Response]) -> Callable[..., Response]:
            def run(request: Request, **values: str) -> Response:
                keys.check_operator(request)
                return handler(request, **values)

            return run

        found = [
            Rule(path, methods=[method], endpoint=guarded(handler))
            for method, path, handler in routes
        ]
        found.extend(probe_rules(self._core, self._ready))
        return found

    def _status(self, request: Request) -> Response:
        membership = self._core.membership
        targets = self._core.catalogue.targets
        streams = self._core.local.streams.values()
        return json_response(
            StatusView(
                host=self._core.settings.host,
                data_centre=self._core.settings.data_centre,
                config_version=self._core.view.newest + 1,
                targets=len(targets),
                targets_taking_work=sum(map(membership.takes_work, targets)),
                open_calls=self._router.open_calls,
                log_away=any(stream.away for stream in streams),
            )
        )

    def _targets(self, request: Request) -> Response:
        views = self._bridge.wait(self._ask_targets())
        return json_response(TargetList(targets=views))

    async def _ask_targets(self) -> list[TargetView]:
        targets = self._core.catalogue.targets
        return list(await asyncio.gather(*map(self._ask_target, targets)))

    async def _ask_target(self, target: TargetDocument) -> TargetView:
        link = self._core.links.to(target.spec.address)
        reply = await link.call(LoadRequest(), timeout=PEER_TIMEOUT)
        load = reply.load if isinstance(reply, LoadReply) else None
        takes = self._core.membership.takes_work(target)
        return TargetView(
            name=target.name,
            type=target.spec.type.value,
            model=target.spec.model,
            service=target.spec.service,
            host=target.spec.host,
            data_centre=target.spec.data_centre,
            takes_work=takes and load is not None and not load.draining,
            answers=load is not None,
            load=load,
        )

    def _drain(self, request: Request) -> Response:
        body = decode_body(read_body(request, MAX_BODY), DrainBody)
        target = self._core.catalogue.target(body.target)
        if target is None:
            raise fail(
                ErrorKind.NOT_FOUND, f"no target {body.target!r}", field="target"
            )
        return json_response(self._bridge.wait(self._drain_target(target, body.drain)))

    async def _drain_target(self, target: TargetDocument, drain: bool) -> TargetView:
        link = self._core.links.to(target.spec.address)
        reply = await link.call(DrainRequest(drain=drain), timeout=PEER_TIMEOUT)
        if isinstance(reply, Failed):
            raise FailureError(reply.failure)
        if isinstance(reply, Accepted):
            self._core.membership.note_load(reply.load)
        return await self._ask_target(target)

    def _config(self, request: Request) -> Response:
        snapshot = self._core.view.snapshot(RecordId(""))
        return json_response(
            DocumentList(
                version=self._core.view.newest + 1, documents=snapshot.documents
            )
        )

    def _history(self, request: Request) -> Response:
        return json_response(PublicationList(publications=self._core.view.history))

    def _publish(self, request: Request) -> Response:
        body = decode_body(read_body(request, MAX_BODY), PublishBody)
        publication = Publication(
            id=RecordId(body.id),
            author=body.author,
            changes=[
                Change(key=one.key, base=one.base, document=one.document)
                for one in body.changes
            ],
        )
        verdict = self._bridge.wait(self._core.follower.publish(publication))
        if isinstance(verdict, Failure):
            raise FailureError(verdict)
        return json_response(verdict, 200 if verdict.accepted else 409)

    def _program(self, request: Request, program: str) -> Response:
        return json_response(self._state(program))

    def _state(self, program: str) -> Any:
        state = self._bridge.wait(self._router.locate(ProgramId(program)))
        if state is None:
            raise fail(ErrorKind.NOT_FOUND, f"no program {program!r}")
        return state

    def _end(self, request: Request, program: str) -> Response:
        state = self._state(program)
        if state.ended is None:
            order = EndRequest(
                program=state.program, spec=state.spec, reason="ended by an operator"
            )
            self._bridge.wait(self._router.order_at_home(state, order))
        return json_response(self._state(program))

    def _explain(self, request: Request, program: str) -> Response:
        known = ProgramId(program)
        found = self._core.decisions.of(known)
        found += self._bridge.wait(self._ask_decisions(known))
        found.sort(key=lambda decision: decision.at)
        return json_response(Explanation(program=program, decisions=found))

    async def _ask_decisions(self, program: ProgramId) -> list[Decision]:
        request = ExplainRequest(program=program)
        found: list[Decision] = []
        for reply in await self._ask_all(request):
            if isinstance(reply, ExplainReply):
                found.extend(reply.decisions)
        return found

    async def _ask_all(self, request: ExplainRequest | TraceRequest) -> list[Any]:
        addresses = self._core.membership.sidecar_addresses().values()
        asked = [
            self._core.links.to(address).call(request, timeout=PEER_TIMEOUT)
            for address in addresses
        ]
        return list(await asyncio.gather(*asked))

    def _trace(self, request: Request, trace: str) -> Response:
        spans = self._core.tracing.spans(trace)
        for reply in self._bridge.wait(self._ask_all(TraceRequest(trace_id=trace))):
            if isinstance(reply, TraceReply):
                spans.extend(reply.spans)
        return json_response(TraceView(spans=spans, tree=render_tree(spans)))


def probe_rules(core: Core, ready: Callable[[], bool]) -> list[Rule]:
    """Return the routes for metrics and probes, which need no key."""

    def metrics(request: Request) -> Response:
        body, headers = core.metrics.render(request.headers.get("Accept", ""))
        return Response(body, headers=headers)

    def health(request: Request) -> Response:
        return Response("ok\n", mimetype="text/plain")

    def readiness(request: Request) -> Response:
        if ready():
            return Response("ready\n", mimetype="text/plain")
        return Response("not ready\n", status=503, mimetype="text/plain")

    return [
        Rule("/metrics", methods=["GET"], endpoint=metrics),
        Rule("/healthz", methods=["GET"], endpoint=health),
        Rule("/readyz", methods=["GET"], endpoint=readiness),
    ]
