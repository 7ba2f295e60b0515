"""WSGI application that serves the HTTP API of callers."""

from __future__ import annotations

import secrets
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import logbook
import msgspec
import xxhash
from opentelemetry.trace import Span
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from ..config.documents import ProgramDocument
from ..config.settings import Settings
from ..daemon.base import Core
from ..errors import ErrorKind, Failure, FailureError, fail
from ..home.chat import parse_chat
from ..ids import CallKey, ProgramId, Workspace, new_id, root_of
from ..records.types import ProgramSpec, ProgramState
from ..webserver import make_routes
from ..wire.messages import (
    CallKind,
    CallRequest,
    CreateRequest,
    Done,
    EndRequest,
    SpawnRequest,
)
from .bridge import CallEvent, LoopBridge
from .operators import OperatorApi
from .requests import (
    ChildBody,
    ProgramBody,
    RequestAuthenticator,
    child_id,
    decode_body,
    public_id,
    qualified_id,
    read_body,
    read_deadline,
    read_flag,
    read_key,
    read_seq,
)
from .responses import (
    end_span,
    error_response,
    event_stream,
    http_failure,
    json_response,
)
from .router import Router
from .views import HistoryEntry, Model, ModelList, program_view

log = logbook.Logger("gateway")

ORDER_TIMEOUT = 20.0  # seconds
SINGLE_CALL_PREFIX = "single"
SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class GatewayApp:
    """Serve the HTTP API of callers and operators, and the health probes."""

    def __init__(
        self, *, core: Core, router: Router, bridge: LoopBridge, operators: OperatorApi
    ) -> None:
        self._core = core
        self._settings: Settings = core.settings
        self._router = router
        self._bridge = bridge
        self._authenticator = RequestAuthenticator(settings=core.settings)
        self._operators = operators
        self._lock = threading.Lock()
        self._open_requests = 0
        self._last_request = 0.0
        self.lame_duck = False
        self.refusing_requests = False
        self._url_map = make_routes(self._routing_rules())

    @property
    def open_requests(self) -> int:
        """Return the number of caller requests in progress."""
        return self._open_requests

    @property
    def seconds_since_request(self) -> float:
        """Return the seconds since the last caller request arrived."""
        return time.monotonic() - self._last_request

    def _routing_rules(self) -> list[Rule]:
        routes: list[tuple[str, list[str], Callable[..., Response]]] = [
            ("/v1/chat/completions", ["POST"], self._complete_chat),
            ("/v1/models", ["GET"], self._list_models),
            ("/v1/programs", ["POST"], self._create_program),
            ("/v1/programs/<name>", ["GET"], self._show_program),
            ("/v1/programs/<name>", ["DELETE"], self._end_program),
            ("/v1/programs/<name>/programs", ["POST"], self._spawn_child),
            ("/v1/programs/<name>/tools/<service>", ["POST"], self._call_tool),
            (
                "/v1/programs/<name>/tools/<service>/<path:path>",
                SERVICE_METHODS,
                self._call_tool,
            ),
            ("/v1/services/<service>", SERVICE_METHODS, self._call_service),
            ("/v1/services/<service>/<path:path>", SERVICE_METHODS, self._call_service),
        ]
        rules = [
            Rule(path, methods=methods, endpoint=self._count_open(handler))
            for path, methods, handler in routes
        ]
        rules.extend(self._operators.rules(self._authenticator))
        return rules

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        request = Request(environ)
        try:
            handler, values = self._url_map.bind_to_environ(environ).match()
            response = handler(request, **values)
        except FailureError as error:
            response = error_response(error.failure)
        except HTTPException as error:
            response = error_response(http_failure(error))
        except Exception as error:
            log.exception("Unhandled error in a request handler.")
            response = error_response(
                Failure(kind=ErrorKind.INTERNAL, reason=repr(error))
            )
        if self.lame_duck:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _count_open(self, handler: Callable[..., Response]) -> Callable[..., Response]:
        """Count a request as open until its response has been written."""

        def handle(request: Request, **values: str) -> Response:
            self._last_request = time.monotonic()
            if self.refusing_requests:
                raise fail(
                    ErrorKind.STOPPING, "the gateway is stopping, no new requests"
                )
            with self._lock:
                self._open_requests += 1
            try:
                response = handler(request, **values)
            except BaseException:
                self._request_closed()
                raise
            response.call_on_close(self._request_closed)
            return response

        return handle

    def _request_closed(self) -> None:
        with self._lock:
            self._open_requests -= 1

    # Model calls

    def _complete_chat(self, request: Request) -> Response:
        workspace = self._authenticator.admit(request)
        body = read_body(request, self._settings.http.max_body)
        chat = parse_chat(body)
        document = self._program_document(workspace, chat.model)
        name = request.headers.get("X-Program-Id")
        single = name is None
        program = (
            self._new_program_id(workspace)
            if name is None
            else qualified_id(workspace, name, "X-Program-Id")
        )
        span = self._start_span("gateway", request, program)
        call = CallRequest(
            program=program,
            spec=self._program_spec(workspace, document, program),
            kind=CallKind.MODEL,
            seq=None if single else read_seq(request),
            body=body,
            stream=chat.stream,
            single=single,
            deadline=read_deadline(request),
            trace=self._core.tracing.traceparent(span),
        )
        events = self._bridge.stream_call(call, may_exist=not single)
        if chat.stream:
            wants_usage = b"include_usage" in bytes(chat.raw.get("stream_options", b""))
            return self._stream_response(call, events, span, wants_usage)
        return self._complete_response(call, events, span)

    def _stream_response(
        self,
        call: CallRequest,
        events: Iterator[CallEvent],
        span: Span,
        wants_usage: bool,
    ) -> Response:
        first = next(events)
        if isinstance(first, Failure):
            end_span(span, first)
            raise FailureError(first)
        body = event_stream(first, events, span, wants_usage)
        response = Response(body, mimetype="text/event-stream")
        response.headers["Cache-Control"] = "no-cache"
        response.headers["X-Program-Id"] = public_id(call.program)
        return response

    def _complete_response(
        self, call: CallRequest, events: Iterator[CallEvent], span: Span
    ) -> Response:
        final = deque(events, maxlen=1).pop()
        if isinstance(final, Failure):
            end_span(span, final)
            raise FailureError(final)
        assert isinstance(final, Done) and final.answer is not None
        end_span(span, None)
        response = Response(
            final.answer.body,
            status=final.answer.status,
            content_type=final.answer.content_type,
        )
        response.headers["X-Program-Id"] = public_id(call.program)
        response.headers["X-Call-Seq"] = str(final.seq)
        response.headers["X-Committed"] = "true" if final.committed else "false"
        return response

    def _list_models(self, request: Request) -> Response:
        workspace = self._authenticator.workspace(request)
        names = {
            document.spec.model
            for document in self._core.catalogue.programs
            if document.spec.workspace == workspace
        }
        models = [Model(id=name) for name in sorted(names)]
        return json_response(ModelList(data=models))

    # Programs

    def _create_program(self, request: Request) -> Response:
        workspace = self._authenticator.workspace(request)
        body = decode_body(read_body(request, 65_536), ProgramBody)
        document = self._requested_document(workspace, body)
        program = (
            qualified_id(workspace, body.id, "id")
            if body.id is not None
            else self._new_program_id(workspace)
        )
        budget = self._validated_budget(document, body.budget)
        spec = self._program_spec(workspace, document, program, budget, body.labels)
        if body.id is not None and self._find_program(program, workspace) is not None:
            raise fail(ErrorKind.KEY_CONFLICT, "the program already exists", field="id")
        self._create_at_home(program, spec)
        return json_response(program_view(self._get_program(program, workspace)), 201)

    def _create_at_home(self, program: ProgramId, spec: ProgramSpec) -> None:
        async def create() -> None:
            home = self._router.choose_home(spec, program)
            await self._router.send_order(
                home, CreateRequest(program=program, spec=spec)
            )

        self._bridge.run_coroutine(create(), ORDER_TIMEOUT)

    def _show_program(self, request: Request, name: str) -> Response:
        workspace = self._authenticator.workspace(request)
        program = qualified_id(workspace, name, "id")
        state = self._get_program(program, workspace)
        return json_response(program_view(state, self._history(state)))

    def _history(self, state: ProgramState) -> list[HistoryEntry]:
        commits = self._bridge.run_coroutine(self._core.shards.commits(state.program))
        if isinstance(commits, Failure):
            raise FailureError(commits)
        if len(commits) < state.seq:
            # The state came from a process that has read further into the log. A
            # history shorter than the caller's own would look like lost calls.
            reason = f"only {len(commits)} of {state.seq} calls were read from the log"
            raise fail(ErrorKind.LOG_UNAVAILABLE, reason)
        return [
            HistoryEntry(
                seq=commit.seq,
                messages=msgspec.json.decode(commit.messages or b"[]"),
                tokens=commit.used,
            )
            for commit in commits
        ]

    def _end_program(self, request: Request, name: str) -> Response:
        workspace = self._authenticator.workspace(request)
        program = qualified_id(workspace, name, "id")
        state = self._get_program(program, workspace)
        if state.ended is None:
            self._send_order_to_home(
                state,
                EndRequest(
                    program=program, spec=state.spec, reason="ended by its caller"
                ),
            )
            self._router.forget_home(program)
        return json_response(program_view(self._get_program(program, workspace)))

    def _spawn_child(self, request: Request, name: str) -> Response:
        workspace = self._authenticator.workspace(request)
        body = decode_body(read_body(request, 65_536), ChildBody)
        if body.budget < 1:
            raise fail(ErrorKind.MALFORMED, "must be at least 1", field="budget")
        parent = self._get_program(qualified_id(workspace, name, "id"), workspace)
        if parent.ended is not None:
            raise fail(ErrorKind.PROGRAM_ENDED, f"program {name} has ended")
        child_name = body.id or secrets.token_hex(4)
        child = child_id(parent.program, child_name)
        qualified_id(workspace, public_id(child), "id")
        spec = ProgramSpec(
            workspace=workspace,
            name=parent.spec.name,
            labels={**parent.spec.labels, **body.labels},
            budget=body.budget,
            parent=parent.program,
        )
        order = SpawnRequest(
            parent=parent.program, spec=parent.spec, child=child, budget=body.budget
        )
        self._send_order_to_home(parent, order)
        self._create_at_home(child, spec)
        return json_response(program_view(self._get_program(child, workspace)), 201)

    def _send_order_to_home(
        self, state: ProgramState, order: SpawnRequest | EndRequest
    ) -> None:
        coroutine = self._router.send_order_to_home(state, order)
        self._bridge.run_coroutine(coroutine, ORDER_TIMEOUT)

    def _find_program(
        self, program: ProgramId, workspace: Workspace
    ) -> ProgramState | None:
        state = self._bridge.run_coroutine(self._router.program_state(program))
        if state is None or state.spec.workspace != workspace:
            return None
        return state

    def _get_program(self, program: ProgramId, workspace: Workspace) -> ProgramState:
        state = self._find_program(program, workspace)
        if state is None:
            raise fail(
                ErrorKind.NOT_FOUND, f"program {public_id(program)!r} does not exist"
            )
        return state

    # Tools and services

    def _call_tool(
        self, request: Request, name: str, service: str, path: str = ""
    ) -> Response:
        workspace = self._authenticator.admit(request)
        program = qualified_id(workspace, name, "id")
        state = self._get_program(program, workspace)
        if state.ended is None:
            self._check_service(state.spec.name, service)
        return self._run_service_call(
            request, service, path, program, state.spec, single=False
        )

    def _call_service(self, request: Request, service: str, path: str = "") -> Response:
        workspace = self._authenticator.admit(request)
        document = self._document_with_service(workspace, service)
        key = read_key(request)
        # The program id is derived from the key, so that a repeated request through
        # any gateway finds the outcome of the first one.
        identity = f"{service}\0{key}" if key else secrets.token_hex(9)
        digest = xxhash.xxh3_128_hexdigest(identity.encode())
        program = ProgramId(f"{workspace}:{SINGLE_CALL_PREFIX}-{digest}")
        spec = self._program_spec(workspace, document, program)
        return self._run_service_call(
            request, service, path, program, spec, single=True
        )

    def _run_service_call(
        self,
        request: Request,
        service: str,
        path: str,
        program: ProgramId,
        spec: ProgramSpec,
        *,
        single: bool,
    ) -> Response:
        key = read_key(request)
        non_idempotent = read_flag(request, "X-Non-Idempotent")
        if non_idempotent and key is None:
            raise fail(
                ErrorKind.MALFORMED,
                "a non-idempotent call needs a unique idempotency key",
                field="Idempotency-Key",
            )
        body = read_body(request, self._settings.http.max_body)
        span = self._start_span("gateway", request, program)
        query = request.query_string.decode("ascii", "replace")
        call = CallRequest(
            program=program,
            spec=spec,
            kind=CallKind.SERVICE,
            seq=None if single else read_seq(request),
            service=service,
            method=request.method,
            path=f"/{path}" + (f"?{query}" if query else ""),
            body=body,
            key=CallKey(key) if key is not None else None,
            non_idempotent=non_idempotent,
            single=single,
            deadline=read_deadline(request),
            trace=self._core.tracing.traceparent(span),
        )
        return self._complete_response(
            call, self._bridge.stream_call(call, may_exist=True), span
        )

    def _check_service(self, program: str, service: str) -> None:
        document = self._core.catalogue.program(program)
        if document is None or service not in document.spec.services:
            raise fail(
                ErrorKind.UNKNOWN_SERVICE,
                f"Program {program} does not list service {service!r}",
                field="service",
            )

    def _document_with_service(
        self, workspace: Workspace, service: str
    ) -> ProgramDocument:
        for document in self._core.catalogue.programs:
            spec = document.spec
            if spec.workspace == workspace and service in spec.services:
                return document
        raise fail(
            ErrorKind.UNKNOWN_SERVICE,
            f"no Program of the workspace lists service {service!r}",
            field="service",
        )

    # Helpers

    def _program_document(self, workspace: Workspace, model: str) -> ProgramDocument:
        document = self._core.catalogue.program_for(workspace, model)
        if document is None:
            raise fail(
                ErrorKind.UNKNOWN_MODEL,
                f"no Program of the workspace uses model {model!r}",
                field="model",
            )
        return document

    def _requested_document(
        self, workspace: Workspace, body: ProgramBody
    ) -> ProgramDocument:
        if body.program is None:
            return self._program_document(workspace, body.model or "")
        document = self._core.catalogue.program(body.program)
        if document is None or document.spec.workspace != workspace:
            raise fail(
                ErrorKind.NOT_FOUND,
                f"Program {body.program!r} does not exist",
                field="program",
            )
        return document

    def _validated_budget(
        self, document: ProgramDocument, requested: int | None
    ) -> int:
        limit = document.spec.budget
        if requested is None:
            return limit
        if not 1 <= requested <= limit:
            raise fail(
                ErrorKind.MALFORMED,
                f"must be 1 to {limit} tokens; got {requested}",
                field="budget",
            )
        return requested

    def _program_spec(
        self,
        workspace: Workspace,
        document: ProgramDocument,
        program: ProgramId,
        budget: int | None = None,
        labels: dict[str, str] | None = None,
    ) -> ProgramSpec:
        return ProgramSpec(
            workspace=workspace,
            name=document.name,
            labels={**document.labels, **(labels or {})},
            budget=budget or document.spec.budget,
        )

    def _new_program_id(self, workspace: Workspace) -> ProgramId:
        return ProgramId(f"{workspace}:{new_id('p')}")

    def _start_span(self, name: str, request: Request, program: ProgramId) -> Span:
        parent = request.headers.get("traceparent", "")
        return self._core.tracing.start(
            name, parent, program=program, root=root_of(program)
        )
