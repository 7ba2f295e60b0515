"""HTTP API of operators, metrics and health probes."""

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
from .bridge import LoopBridge
from .requests import (
    DrainBody,
    PublishBody,
    RequestAuthenticator,
    decode_body,
    read_body,
)
from .responses import json_response
from .router import Router

PEER_TIMEOUT = 2.0  # seconds
MAX_BODY = 4 * 1024 * 1024  # bytes


class TargetView(msgspec.Struct, frozen=True, kw_only=True):
    """One target as shown to operators."""

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
    """All targets in the configuration."""

    targets: list[TargetView]


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the system as seen by one gateway."""

    host: str
    data_centre: str
    config_version: int
    targets: int
    targets_taking_work: int
    open_calls: int
    log_away: bool


class DocumentList(msgspec.Struct, frozen=True, kw_only=True):
    """The current configuration documents with their versions."""

    version: int
    documents: dict[str, VersionedDocument]


class PublicationList(msgspec.Struct, frozen=True, kw_only=True):
    """The latest configuration publications with their verdicts."""

    publications: list[PublishVerdict]


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """The scheduling decisions for one program, in order of time."""

    program: str
    decisions: list[Decision]


class TraceView(msgspec.Struct, frozen=True, kw_only=True):
    """One trace, as spans and rendered as the lines of a tree."""

    spans: list[SpanData]
    tree: list[str]


class OperatorApi:
    """Serve the HTTP API of operators."""

    def __init__(
        self,
        *,
        core: Core,
        router: Router,
        bridge: LoopBridge,
        ready: Callable[[], bool],
    ) -> None:
        self._core = core
        self._router = router
        self._bridge = bridge
        self._ready = ready

    def rules(self, authenticator: RequestAuthenticator) -> list[Rule]:
        """Return the routes; all but metrics and probes need an operator key."""
        routes: list[tuple[str, str, Callable[..., Response]]] = [
            ("GET", "/v1/admin/status", self._show_status),
            ("GET", "/v1/admin/targets", self._list_targets),
            ("POST", "/v1/admin/drain", self._drain),
            ("GET", "/v1/admin/config", self._show_config),
            ("GET", "/v1/admin/config/history", self._show_history),
            ("POST", "/v1/admin/config", self._publish_config),
            ("GET", "/v1/admin/programs/<program>", self._show_program),
            ("DELETE", "/v1/admin/programs/<program>", self._end_program),
            ("GET", "/v1/admin/programs/<program>/explain", self._explain),
            ("GET", "/v1/admin/traces/<trace>", self._show_trace),
        ]

        def operator_only(handler: Callable[..., Response]) -> Callable[..., Response]:
            def handle(request: Request, **values: str) -> Response:
                authenticator.check_operator(request)
                return handler(request, **values)

            return handle

        rules = [
            Rule(path, methods=[method], endpoint=operator_only(handler))
            for method, path, handler in routes
        ]
        rules.extend(probe_rules(self._core, self._ready))
        return rules

    def _show_status(self, request: Request) -> Response:
        membership = self._core.membership
        targets = self._core.catalogue.targets
        streams = self._core.local_shards.streams.values()
        return json_response(
            StatusView(
                host=self._core.settings.host,
                data_centre=self._core.settings.data_centre,
                config_version=self._core.config_view.newest + 1,
                targets=len(targets),
                targets_taking_work=sum(map(membership.takes_work, targets)),
                open_calls=self._router.open_calls,
                log_away=any(stream.unavailable for stream in streams),
            )
        )

    def _list_targets(self, request: Request) -> Response:
        views = self._bridge.run_coroutine(self._target_views())
        return json_response(TargetList(targets=views))

    async def _target_views(self) -> list[TargetView]:
        targets = self._core.catalogue.targets
        return list(await asyncio.gather(*map(self._target_view, targets)))

    async def _target_view(self, target: TargetDocument) -> TargetView:
        link = self._core.links.to(target.spec.address)
        reply = await link.call(LoadRequest(), timeout=PEER_TIMEOUT)
        load = reply.load if isinstance(reply, LoadReply) else None
        takes_work = self._core.membership.takes_work(target)
        return TargetView(
            name=target.name,
            type=target.spec.type.value,
            model=target.spec.model,
            service=target.spec.service,
            host=target.spec.host,
            data_centre=target.spec.data_centre,
            takes_work=takes_work and load is not None and not load.draining,
            answers=load is not None,
            load=load,
        )

    def _drain(self, request: Request) -> Response:
        body = decode_body(read_body(request, MAX_BODY), DrainBody)
        target = self._core.catalogue.target(body.target)
        if target is None:
            raise fail(
                ErrorKind.NOT_FOUND,
                f"target {body.target!r} does not exist",
                field="target",
            )
        return json_response(
            self._bridge.run_coroutine(self._drain_target(target, body.drain))
        )

    async def _drain_target(self, target: TargetDocument, drain: bool) -> TargetView:
        link = self._core.links.to(target.spec.address)
        reply = await link.call(DrainRequest(drain=drain), timeout=PEER_TIMEOUT)
        if isinstance(reply, Failed):
            raise FailureError(reply.failure)
        if isinstance(reply, Accepted):
            self._core.membership.note_load(reply.load)
        return await self._target_view(target)

    def _show_config(self, request: Request) -> Response:
        snapshot = self._core.config_view.snapshot(RecordId(""))
        return json_response(
            DocumentList(
                version=self._core.config_view.newest + 1, documents=snapshot.documents
            )
        )

    def _show_history(self, request: Request) -> Response:
        return json_response(
            PublicationList(publications=self._core.config_view.history)
        )

    def _publish_config(self, request: Request) -> Response:
        body = decode_body(read_body(request, MAX_BODY), PublishBody)
        publication = Publication(
            id=RecordId(body.id),
            author=body.author,
            changes=[
                Change(key=change.key, base=change.base, document=change.document)
                for change in body.changes
            ],
        )
        verdict = self._bridge.run_coroutine(
            self._core.config_follower.publish(publication)
        )
        if isinstance(verdict, Failure):
            raise FailureError(verdict)
        return json_response(verdict, 200 if verdict.accepted else 409)

    def _show_program(self, request: Request, program: str) -> Response:
        return json_response(self._get_program(program))

    def _get_program(self, program: str) -> Any:
        state = self._bridge.run_coroutine(
            self._router.program_state(ProgramId(program))
        )
        if state is None:
            raise fail(ErrorKind.NOT_FOUND, f"program {program!r} does not exist")
        return state

    def _end_program(self, request: Request, program: str) -> Response:
        state = self._get_program(program)
        if state.ended is None:
            order = EndRequest(
                program=state.program, spec=state.spec, reason="ended by an operator"
            )
            self._bridge.run_coroutine(self._router.send_order_to_home(state, order))
        return json_response(self._get_program(program))

    def _explain(self, request: Request, program: str) -> Response:
        program_id = ProgramId(program)
        decisions = self._core.decisions.of(program_id)
        decisions += self._bridge.run_coroutine(self._peer_decisions(program_id))
        decisions.sort(key=lambda decision: decision.at)
        return json_response(Explanation(program=program, decisions=decisions))

    async def _peer_decisions(self, program: ProgramId) -> list[Decision]:
        request = ExplainRequest(program=program)
        decisions: list[Decision] = []
        for reply in await self._call_peers(request):
            if isinstance(reply, ExplainReply):
                decisions.extend(reply.decisions)
        return decisions

    async def _call_peers(self, request: ExplainRequest | TraceRequest) -> list[Any]:
        addresses = self._core.membership.sidecar_addresses().values()
        calls = [
            self._core.links.to(address).call(request, timeout=PEER_TIMEOUT)
            for address in addresses
        ]
        return list(await asyncio.gather(*calls))

    def _show_trace(self, request: Request, trace: str) -> Response:
        spans = self._core.tracing.spans(trace)
        for reply in self._bridge.run_coroutine(
            self._call_peers(TraceRequest(trace_id=trace))
        ):
            if isinstance(reply, TraceReply):
                spans.extend(reply.spans)
        return json_response(TraceView(spans=spans, tree=render_tree(spans)))


def probe_rules(core: Core, ready: Callable[[], bool]) -> list[Rule]:
    """Return the routes of metrics and probes, which need no key."""

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
