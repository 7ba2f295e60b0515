"""Answer callers over HTTP."""

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
from .bridge import Bridge, Event
from .operators import OperatorApi
from .requests import (
    ChildBody,
    KeyTable,
    ProgramBody,
    child_id,
    decode_body,
    inner_id,
    outer_id,
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

ORDER_TIMEOUT = 20.0
SINGLE_PREFIX = "single"
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class CallerApp:
    """Answer callers, operators and the platform's probes."""

    def __init__(
        self, *, core: Core, router: Router, bridge: Bridge, operators: OperatorApi
    ) -> None:
        self._core = core
        self._settings: Settings = core.settings
        self._router = router
        self._bridge = bridge
        self._keys = KeyTable(settings=core.settings)
        self._operators = operators
        self._lock = threading.Lock()
        self._open = 0
        self._last_request = 0.0
        self.leaving = False
        self.refusing = False
        self._map = make_routes(self._rules())

    @property
    def open_requests(self) -> int:
        """Return the requests of callers that are being answered."""
        return self._open

    @property
    def quiet_for(self) -> float:
        """Return the seconds since the last request came."""
        return time.monotonic() - self._last_request

    def _rules(self) -> list[Rule]:
        routes: list[tuple[str, list[str], Callable[..., Response]]] = [
            ("/v1/chat/completions", ["POST"], self._chat),
            ("/v1/models", ["GET"], self._models),
            ("/v1/programs", ["POST"], self._create),
            ("/v1/programs/<name>", ["GET"], self._show),
            ("/v1/programs/<name>", ["DELETE"], self._end),
            ("/v1/programs/<name>/programs", ["POST"], self._spawn),
            ("/v1/programs/<name>/tools/<service>", ["POST"], self._tool),
            ("/v1/programs/<name>/tools/<service>/<path:path>", METHODS, self._tool),
            ("/v1/services/<service>", METHODS, self._plain),
            ("/v1/services/<service>/<path:path>", METHODS, self._plain),
        ]
        rules = [
            Rule(path, methods=methods, endpoint=self._counted(handler))
            for path, methods, handler in routes
        ]
        rules.extend(self._operators.rules(self._keys))
        return rules

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI has it."""
        request = Request(environ)
        try:
            handler, values = self._map.bind_to_environ(environ).match()
            response = handler(request, **values)
        except FailureError as error:
            response = error_response(error.failure)
        except HTTPException as error:
            response = error_response(http_failure(error))
        except Exception as error:
            log.exception("A request failed.")
            response = error_response(
                Failure(kind=ErrorKind.INTERNAL, reason=repr(error))
            )
        if self.leaving:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _counted(self, handler: Callable[..., Response]) -> Callable[..., Response]:
        """Count a request until its answer has been written."""

        def run(request: Request, **values: str) -> Response:
            self._last_request = time.monotonic()
            if self.refusing:
                raise fail(ErrorKind.STOPPING, "this host takes no new requests")
            with self._lock:
                self._open += 1
            try:
                response = handler(request, **values)
            except BaseException:
                self._close_one()
                raise
            response.call_on_close(self._close_one)
            return response

        return run

    def _close_one(self) -> None:
        with self._lock:
            self._open -= 1

    # Model calls.

    def _chat(self, request: Request) -> Response:
        workspace = self._keys.admit(request)
        body = read_body(request, self._settings.http.max_body)
        chat = parse_chat(body)
        document = self._program_document(workspace, chat.model)
        name = request.headers.get("X-Program-Id")
        single = name is None
        program = (
            self._fresh_id(workspace)
            if name is None
            else inner_id(workspace, name, "X-Program-Id")
        )
        span = self._span("gateway", request, program)
        call = CallRequest(
            program=program,
            spec=self._spec(workspace, document, program),
            kind=CallKind.MODEL,
            seq=None if single else read_seq(request),
            body=body,
            stream=chat.stream,
            single=single,
            deadline=read_deadline(request),
            trace=self._core.tracing.traceparent(span),
        )
        events = self._bridge.events(call, known=not single)
        if chat.stream:
            wants_usage = b"include_usage" in bytes(chat.raw.get("stream_options", b""))
            return self._streamed(call, events, span, wants_usage)
        return self._whole(call, events, span)

    def _streamed(
        self,
        call: CallRequest,
        events: Iterator[Event],
        span: Span,
        wants_usage: bool,
    ) -> Response:
        first = next(events)
        if isinstance(first, Failure):
            end_span(span, first)
            raise FailureError(first)
        pieces = event_stream(first, events, span, wants_usage)
        response = Response(pieces, mimetype="text/event-stream")
        response.headers["Cache-Control"] = "no-cache"
        response.headers["X-Program-Id"] = outer_id(call.program)
        return response

    def _whole(
        self, call: CallRequest, events: Iterator[Event], span: Span
    ) -> Response:
        last = deque(events, maxlen=1).pop()
        if isinstance(last, Failure):
            end_span(span, last)
            raise FailureError(last)
        assert isinstance(last, Done) and last.answer is not None
        end_span(span, None)
        response = Response(
            last.answer.body,
            status=last.answer.status,
            content_type=last.answer.content_type,
        )
        response.headers["X-Program-Id"] = outer_id(call.program)
        response.headers["X-Call-Seq"] = str(last.seq)
        response.headers["X-Committed"] = "true" if last.committed else "false"
        return response

    def _models(self, request: Request) -> Response:
        workspace = self._keys.workspace(request)
        names = {
            document.spec.model
            for document in self._core.catalogue.programs
            if document.spec.workspace == workspace
        }
        models = [Model(id=name) for name in sorted(names)]
        return json_response(ModelList(data=models))

    # Programs.

    def _create(self, request: Request) -> Response:
        workspace = self._keys.workspace(request)
        body = decode_body(read_body(request, 65_536), ProgramBody)
        document = self._named_document(workspace, body)
        program = (
            inner_id(workspace, body.id, "id")
            if body.id is not None
            else self._fresh_id(workspace)
        )
        budget = self._checked_budget(document, body.budget)
        spec = self._spec(workspace, document, program, budget, body.labels)
        if body.id is not None and self._find(program, workspace) is not None:
            raise fail(ErrorKind.KEY_CONFLICT, "the program exists", field="id")
        self._create_at_home(program, spec)
        return json_response(program_view(self._need(program, workspace)), 201)

    def _create_at_home(self, program: ProgramId, spec: ProgramSpec) -> None:
        async def create() -> None:
            home = self._router.spec_home(spec, program)
            await self._router.order(home, CreateRequest(program=program, spec=spec))

        self._bridge.wait(create(), ORDER_TIMEOUT)

    def _show(self, request: Request, name: str) -> Response:
        workspace = self._keys.workspace(request)
        program = inner_id(workspace, name, "id")
        state = self._need(program, workspace)
        return json_response(program_view(state, self._history(state)))

    def _history(self, state: ProgramState) -> list[HistoryEntry]:
        commits = self._bridge.wait(self._core.shards.commits(state.program))
        if isinstance(commits, Failure):
            raise FailureError(commits)
        if len(commits) < state.seq:
            # Another keeper told the state, and this one has not read as far: a
            # shorter history than the caller's own would look like a loss.
            reason = f"{len(commits)} of {state.seq} calls are read from the log"
            raise fail(ErrorKind.LOG_UNAVAILABLE, reason)
        return [
            HistoryEntry(
                seq=commit.seq,
                messages=msgspec.json.decode(commit.messages or b"[]"),
                tokens=commit.used,
            )
            for commit in commits
        ]

    def _end(self, request: Request, name: str) -> Response:
        workspace = self._keys.workspace(request)
        program = inner_id(workspace, name, "id")
        state = self._need(program, workspace)
        if state.ended is None:
            self._order_at_home(
                state,
                EndRequest(
                    program=program, spec=state.spec, reason="ended by its caller"
                ),
            )
            self._router.forget(program)
        return json_response(program_view(self._need(program, workspace)))

    def _spawn(self, request: Request, name: str) -> Response:
        workspace = self._keys.workspace(request)
        body = decode_body(read_body(request, 65_536), ChildBody)
        if body.budget < 1:
            raise fail(ErrorKind.MALFORMED, "must be at least 1", field="budget")
        parent = self._need(inner_id(workspace, name, "id"), workspace)
        if parent.ended is not None:
            raise fail(ErrorKind.PROGRAM_ENDED, f"program {name} ended")
        label = body.id or secrets.token_hex(4)
        child = child_id(parent.program, label)
        inner_id(workspace, outer_id(child), "id")
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
        self._order_at_home(parent, order)
        self._create_at_home(child, spec)
        return json_response(program_view(self._need(child, workspace)), 201)

    def _order_at_home(
        self, state: ProgramState, order: SpawnRequest | EndRequest
    ) -> None:
        work = self._router.order_at_home(state, order)
        self._bridge.wait(work, ORDER_TIMEOUT)

    def _find(self, program: ProgramId, workspace: Workspace) -> ProgramState | None:
        state = self._bridge.wait(self._router.locate(program))
        if state is None or state.spec.workspace != workspace:
            return None
        return state

    def _need(self, program: ProgramId, workspace: Workspace) -> ProgramState:
        state = self._find(program, workspace)
        if state is None:
            raise fail(ErrorKind.NOT_FOUND, f"no program {outer_id(program)!r}")
        return state

    # Tools and services.

    def _tool(
        self, request: Request, name: str, service: str, path: str = ""
    ) -> Response:
        workspace = self._keys.admit(request)
        program = inner_id(workspace, name, "id")
        state = self._need(program, workspace)
        if state.ended is None:
            self._check_service(state.spec.name, service)
        return self._service_call(
            request, service, path, program, state.spec, single=False
        )

    def _plain(self, request: Request, service: str, path: str = "") -> Response:
        workspace = self._keys.admit(request)
        document = self._document_with_service(workspace, service)
        key = read_key(request)
        # The same key through any gateway names the same program, and so
        # finds the outcome of the call that used it first.
        text = f"{service}\0{key}" if key else secrets.token_hex(9)
        digest = xxhash.xxh3_128_hexdigest(text.encode())
        program = ProgramId(f"{workspace}:{SINGLE_PREFIX}-{digest}")
        spec = self._spec(workspace, document, program)
        return self._service_call(request, service, path, program, spec, single=True)

    def _service_call(
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
        once = read_flag(request, "X-Non-Idempotent")
        if once and key is None:
            raise fail(
                ErrorKind.MALFORMED,
                "a non-idempotent call needs a key that is its own",
                field="Idempotency-Key",
            )
        body = read_body(request, self._settings.http.max_body)
        span = self._span("gateway", request, program)
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
            non_idempotent=once,
            single=single,
            deadline=read_deadline(request),
            trace=self._core.tracing.traceparent(span),
        )
        return self._whole(call, self._bridge.events(call, known=True), span)

    def _check_service(self, program: str, service: str) -> None:
        document = self._core.catalogue.program(program)
        if document is None or service not in document.spec.services:
            raise fail(
                ErrorKind.UNKNOWN_SERVICE,
                f"Program {program} names no service {service!r}",
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
            f"no Program of the workspace names a service {service!r}",
            field="service",
        )

    # Helpers.

    def _program_document(self, workspace: Workspace, model: str) -> ProgramDocument:
        document = self._core.catalogue.program_for(workspace, model)
        if document is None:
            raise fail(
                ErrorKind.UNKNOWN_MODEL,
                f"no Program of the workspace uses model {model!r}",
                field="model",
            )
        return document

    def _named_document(
        self, workspace: Workspace, body: ProgramBody
    ) -> ProgramDocument:
        if body.program is None:
            return self._program_document(workspace, body.model or "")
        document = self._core.catalogue.program(body.program)
        if document is None or document.spec.workspace != workspace:
            raise fail(
                ErrorKind.NOT_FOUND, f"no Program {body.program!r}", field="program"
            )
        return document

    def _checked_budget(self, document: ProgramDocument, wanted: int | None) -> int:
        most = document.spec.budget
        if wanted is None:
            return most
        if not 1 <= wanted <= most:
            raise fail(
                ErrorKind.MALFORMED,
                f"must be 1 to {most} tokens; given {wanted}",
                field="budget",
            )
        return wanted

    def _spec(
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

    def _fresh_id(self, workspace: Workspace) -> ProgramId:
        return ProgramId(f"{workspace}:{new_id('p')}")

    def _span(self, name: str, request: Request, program: ProgramId) -> Span:
        parent = request.headers.get("traceparent", "")
        return self._core.tracing.start(
            name, parent, program=program, root=root_of(program)
        )
