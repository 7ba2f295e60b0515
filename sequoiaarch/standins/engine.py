"""Stand in for a model engine.

It batches continuously: each step decodes one token group for every running
sequence and prefills a bounded number of prompt tokens. Prefixes stay cached
in limited memory, least recently used first out.
"""

from __future__ import annotations

import itertools
import queue
import threading
import time
from collections import Counter, OrderedDict
from collections.abc import Iterator
from enum import Enum
from typing import Any

import msgspec
import xxhash
from werkzeug.wrappers import Request, Response

from .web import StandInServer, json_response

CHARACTERS_A_TOKEN = 4
MESSAGE_TOKENS = 4
DEFAULT_ANSWER_TOKENS = 24
EVENTS_KEPT = 256
STREAMS_KEPT = 64
WORDS = ("ash", "bay", "cod", "dew", "elm", "fir", "gum", "hay", "ivy", "jet")


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Set the costs of the engine; times in seconds, rates a second."""

    model: str = "stand-in"
    slots: int = 8
    cache_tokens: int = 60_000
    prefill_rate: float = 40_000.0
    prefill_chunk: int = 2_048
    step: float = 0.004
    step_share: float = 0.0004
    group: int = 1
    import_rate: float = 400_000.0
    host_tokens: int = 240_000
    load_lag: float = 0.2
    event_lag: float = 0.3
    event_gap: int = 0
    checks_fencing: bool = True


class Hints(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the stand-in what to answer."""

    answer_tokens: int | None = None
    tool: str | None = None
    ignore_limit: bool = False


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Read what counts of a message."""

    role: str
    content: Any = None


class ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """Read what counts of a chat request."""

    messages: list[ChatMessage]
    model: str = ""
    max_tokens: int | None = None
    priority: float = 0.0
    stand_in: Hints = Hints()


class Phase(Enum):
    """Say how far a sequence has come."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    ENDED = "ended"


class Sequence:
    """Hold one request under way."""

    def __init__(self, *, body: ChatBody, key: str, stream: str, order: int) -> None:
        self.key = key
        self.stream = stream
        self.order = order
        self.priority = body.priority
        self.model = body.model
        self.hints = body.stand_in
        self.digests: list[str] = []
        self.sizes: list[int] = []
        chain = xxhash.xxh3_64()
        for message in body.messages:
            text = str(message.content or "")
            chain.update(f"{message.role}\0{text}\0".encode())
            self.digests.append(chain.hexdigest())
            self.sizes.append(len(text) // CHARACTERS_A_TOKEN + MESSAGE_TOKENS)
        self.prompt = sum(self.sizes)
        wanted = self.hints.answer_tokens or DEFAULT_ANSWER_TOKENS
        limit = body.max_tokens or wanted
        self.wanted = wanted if self.hints.ignore_limit else min(wanted, limit)
        self.seed = chain.intdigest()
        self._chain = chain
        self.cached = 0
        self.prefilled = 0
        self.decoded = 0
        self.phase = Phase.WAITING
        self.cancelled = False
        self.pieces: list[str] = []
        self.events: queue.SimpleQueue[int | None] = queue.SimpleQueue()

    @property
    def held(self) -> int:
        """Return the tokens of memory that the sequence needs at its end."""
        return self.prompt + self.wanted

    def answer_link(self) -> tuple[str, int]:
        """Return the digest and the size that the answer adds to the prefix."""
        text = "".join(self.pieces)
        chain = self._chain.copy()
        chain.update(f"assistant\0{text}\0".encode())
        return chain.hexdigest(), len(text) // CHARACTERS_A_TOKEN + MESSAGE_TOKENS

    def text(self, start: int, count: int) -> str:
        """Return the words at places of the answer, always the same."""
        words = (
            WORDS[(self.seed + 7 * place) % len(WORDS)]
            for place in range(start, start + count)
        )
        return "".join(word + " " for word in words)


class CacheEntry(msgspec.Struct, kw_only=True):
    """Hold the cached prefix of one key."""

    digests: list[str]
    tokens: int


class EngineStandIn:
    """Serve chat completions from a fake engine."""

    def __init__(self, *, options: EngineOptions, port: int = 0) -> None:
        self.options = options
        self.cut_streams = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.requests = 0
        self.event_counts: Counter[str] = Counter()
        self._lock = threading.Condition()
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._cache: OrderedDict[str, CacheEntry] = OrderedDict()
        self._exported: dict[str, CacheEntry] = {}
        self._streams: OrderedDict[str, Sequence] = OrderedDict()
        self._events: list[tuple[float, int, str, str]] = []
        self._loads: list[tuple[float, int, int]] = [(0.0, 0, 0)]
        self._fence = 0
        self._orders: list[str] = []
        self._numbers = itertools.count()
        self._stopped = False
        self._server = StandInServer(
            routes=[
                ("POST", "/v1/chat/completions", self._complete),
                ("GET", "/v1/streams/<stream>", self._resume),
                ("DELETE", "/v1/streams/<stream>", self._cancel),
                ("GET", "/v1/load", self._load),
                ("GET", "/v1/cache", self._list_cache),
                ("GET", "/v1/cache/events", self._cache_events),
                ("DELETE", "/v1/cache/<key>", self._free),
                ("POST", "/v1/cache/<key>/export", self._export),
                ("POST", "/v1/cache/<key>/import", self._import),
                ("POST", "/v1/orders", self._order),
                ("GET", "/v1/orders", self._list_orders),
                ("GET", "/v1/statistics", self._statistics),
            ],
            port=port,
        )
        self._loop = threading.Thread(target=self._run, daemon=True)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    @property
    def cache_keys(self) -> list[str]:
        """Return the keys whose prefixes are held."""
        with self._lock:
            return list(self._cache) + list(self._exported)

    def start(self) -> None:
        """Start to answer."""
        self._server.start()
        self._loop.start()

    def stop(self) -> None:
        """Stop to answer."""
        with self._lock:
            self._stopped = True
            self._lock.notify_all()
        self._server.stop()

    # The batch.

    def _run(self) -> None:
        while True:
            with self._lock:
                while not self._waiting and not self._running:
                    if self._stopped:
                        return
                    self._lock.wait(0.5)
                if self._stopped:
                    return
                self._admit()
                cost = self._step()
            time.sleep(cost)

    def _admit(self) -> None:
        self._waiting = [one for one in self._waiting if not one.cancelled]
        self._waiting.sort(key=lambda one: (one.priority, one.order))
        while self._waiting and len(self._running) < self.options.slots:
            first = self._waiting[0]
            if not self._make_room(first):
                return
            self._waiting.pop(0)
            self._begin(first)

    def _make_room(self, sequence: Sequence) -> bool:
        used = sum(one.held for one in self._running) + sequence.held
        if used > self.options.cache_tokens and self._running:
            return False
        own = self._cache.get(sequence.key)
        room = self.options.cache_tokens - used + (own.tokens if own else 0)
        while sum(e.tokens for e in self._cache.values()) > max(room, 0):
            victim = next((k for k in self._cache if k != sequence.key), None)
            if victim is None:
                return True
            self._evict(victim, "evicted")
        return True

    def _begin(self, sequence: Sequence) -> None:
        entry = self._cache.pop(sequence.key, None)
        if entry is not None:
            matched = 0
            for ours, theirs in zip(sequence.digests, entry.digests, strict=False):
                if ours != theirs:
                    break
                matched += 1
            sequence.cached = sum(sequence.sizes[:matched])
        sequence.prefilled = sequence.cached
        sequence.phase = Phase.PREFILL
        self.prompt_tokens += sequence.prompt
        self.cached_tokens += sequence.cached
        self._running.append(sequence)

    def _step(self) -> float:
        options = self.options
        budget = options.prefill_chunk
        cost = options.step + options.step_share * len(self._running)
        for sequence in list(self._running):
            if sequence.cancelled:
                self._finish(sequence)
            elif sequence.phase is Phase.PREFILL:
                work = min(budget, sequence.prompt - sequence.prefilled)
                sequence.prefilled += work
                budget -= work
                cost += work / options.prefill_rate
                if sequence.prefilled >= sequence.prompt:
                    sequence.phase = Phase.DECODE
            else:
                self._decode(sequence)
        self._note_load()
        return cost

    def _decode(self, sequence: Sequence) -> None:
        count = min(self.options.group, sequence.wanted - sequence.decoded)
        sequence.pieces.append(sequence.text(sequence.decoded, count))
        sequence.decoded += count
        sequence.events.put(len(sequence.pieces))
        if sequence.decoded >= sequence.wanted:
            self._finish(sequence)

    def _finish(self, sequence: Sequence) -> None:
        self._running.remove(sequence)
        sequence.phase = Phase.ENDED
        sequence.events.put(None)
        if sequence.cancelled:
            return
        # The next prompt repeats the answer, so the answer is cached too.
        digest, size = sequence.answer_link()
        entry = CacheEntry(
            digests=[*sequence.digests, digest],
            tokens=sequence.prompt + size,
        )
        self._cache[sequence.key] = entry
        self._event(sequence.key, "stored")

    def _evict(self, key: str, what: str) -> None:
        self._cache.pop(key, None)
        self._event(key, what)

    def _event(self, key: str, what: str) -> None:
        number = next(self._numbers)
        self.event_counts[what] += 1
        gap = self.options.event_gap
        if gap and number % gap == 0:
            return
        due = time.monotonic() + self.options.event_lag
        self._events.append((due, number, what, key))
        del self._events[:-EVENTS_KEPT]

    def _note_load(self) -> None:
        now = time.monotonic()
        self._loads.append((now, len(self._running), len(self._waiting)))
        horizon = now - self.options.load_lag
        while len(self._loads) > 1 and self._loads[1][0] <= horizon:
            self._loads.pop(0)

    # Answers over HTTP.

    def _complete(self, request: Request) -> Response:
        try:
            body = msgspec.json.decode(request.get_data(), type=ChatBody)
        except msgspec.ValidationError as error:
            return json_response({"error": {"message": str(error)}}, 400)
        key = request.headers.get("X-Cache-Key", "")
        with self._lock:
            number = next(self._numbers)
            stream = request.headers.get("X-Stream-Id", f"stream-{number}")
            sequence = Sequence(body=body, key=key, stream=stream, order=number)
            self.requests += 1
            self._streams[stream] = sequence
            while len(self._streams) > STREAMS_KEPT * 8:
                self._streams.popitem(last=False)
            self._waiting.append(sequence)
            self._lock.notify_all()
        return self._answer(sequence, 0)

    def _resume(self, request: Request, stream: str) -> Response:
        sequence = self._streams.get(stream)
        if sequence is None:
            return json_response({"error": {"message": "no such stream"}}, 404)
        return self._answer(sequence, int(request.args.get("from", "0")))

    def _answer(self, sequence: Sequence, start: int) -> Response:
        cut = None
        if self.cut_streams > 0:
            self.cut_streams -= 1
            cut = start + 3
        events = self._stream(sequence, start, cut)
        return Response(events, mimetype="text/event-stream")

    def _stream(
        self, sequence: Sequence, start: int, cut: int | None
    ) -> Iterator[bytes]:
        sent = start
        while True:
            ended = sequence.phase is Phase.ENDED
            while sent < len(sequence.pieces):
                if cut is not None and sent >= cut:
                    raise ConnectionResetError("cut by the test")
                yield self._chunk(sequence, sequence.pieces[sent])
                sent += 1
            if ended:
                break
            try:
                sequence.events.get(timeout=0.5)
            except queue.Empty:
                if self._stopped:
                    raise ConnectionResetError("the engine stopped") from None
        yield self._last(sequence)
        yield b"data: [DONE]\n\n"

    def _chunk(self, sequence: Sequence, text: str) -> bytes:
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
        return _event_bytes(sequence, [choice], None)

    def _last(self, sequence: Sequence) -> bytes:
        delta: dict[str, Any] = {}
        reason = "stop"
        if sequence.cancelled:
            reason = "cancelled"
        elif sequence.hints.tool is not None:
            reason = "tool_calls"
            call = {
                "index": 0,
                "id": f"call_{sequence.seed % 10**8:08d}",
                "type": "function",
                "function": {"name": sequence.hints.tool, "arguments": "{}"},
            }
            delta = {"tool_calls": [call]}
        usage = {
            "prompt_tokens": sequence.prompt,
            "completion_tokens": sequence.decoded,
            "total_tokens": sequence.prompt + sequence.decoded,
            "prompt_tokens_details": {"cached_tokens": sequence.cached},
        }
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        return _event_bytes(sequence, [choice], usage)

    def _cancel(self, request: Request, stream: str) -> Response:
        sequence = self._streams.get(stream)
        if sequence is not None:
            with self._lock:
                sequence.cancelled = True
                if sequence.phase is Phase.WAITING:
                    sequence.phase = Phase.ENDED
                    sequence.events.put(None)
        return json_response({})

    def _load(self, request: Request) -> Response:
        with self._lock:
            if not self._running and not self._waiting:
                self._note_load()
            _, running, waiting = self._loads[0]
        return json_response({"running": running, "waiting": waiting})

    def _list_cache(self, request: Request) -> Response:
        with self._lock:
            entries = {key: entry.tokens for key, entry in self._cache.items()}
            exported = {key: entry.tokens for key, entry in self._exported.items()}
        return json_response({"cached": entries, "exported": exported})

    def _cache_events(self, request: Request) -> Response:
        start = int(request.args.get("from", "0"))
        now = time.monotonic()
        with self._lock:
            events = [
                {"number": number, "what": what, "key": key}
                for due, number, what, key in self._events
                if due <= now and number >= start
            ]
        return json_response(events)

    def _fenced(self, request: Request) -> bool:
        """Return whether the order carries an old fencing number."""
        number = int(request.headers.get("X-Fencing", "0"))
        if not self.options.checks_fencing:
            return False
        if number < self._fence:
            return True
        self._fence = number
        return False

    def _free(self, request: Request, key: str) -> Response:
        with self._lock:
            self._evict(key, "freed")
            self._exported.pop(key, None)
        return json_response({})

    def _export(self, request: Request, key: str) -> Response:
        with self._lock:
            entry = self._cache.pop(key, None)
            if entry is None:
                return json_response({"error": {"message": "not cached"}}, 404)
            held = sum(one.tokens for one in self._exported.values())
            if held + entry.tokens > self.options.host_tokens:
                self._event(key, "evicted")
                return json_response({"error": {"message": "no room"}}, 507)
            self._exported[key] = entry
            self._event(key, "exported")
        time.sleep(entry.tokens / self.options.import_rate)
        return json_response({"tokens": entry.tokens})

    def _import(self, request: Request, key: str) -> Response:
        with self._lock:
            entry = self._exported.pop(key, None)
            if entry is None:
                return json_response({"error": {"message": "not exported"}}, 404)
            self._cache[key] = entry
            self._event(key, "imported")
        time.sleep(entry.tokens / self.options.import_rate)
        return json_response({"tokens": entry.tokens})

    def _order(self, request: Request) -> Response:
        if self._fenced(request):
            return json_response({"error": {"message": "old fencing number"}}, 409)
        self._orders.append(request.get_data(as_text=True))
        return json_response({})

    def _list_orders(self, request: Request) -> Response:
        return json_response(self._orders)

    def _statistics(self, request: Request) -> Response:
        return json_response(
            {
                "prompt_tokens": self.prompt_tokens,
                "cached_tokens": self.cached_tokens,
                "requests": self.requests,
                "events": dict(self.event_counts),
            }
        )


def _event_bytes(
    sequence: Sequence, choices: list[dict[str, Any]], usage: dict[str, Any] | None
) -> bytes:
    chunk: dict[str, Any] = {
        "id": f"chatcmpl-{sequence.stream}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": sequence.model,
        "choices": choices,
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
