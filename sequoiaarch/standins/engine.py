"""Simulate a model engine with continuous batching.

Each step decodes one group of tokens for every running sequence and prefills a
bounded number of prompt tokens. Prefixes are cached in limited memory with
least-recently-used eviction.
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

CHARACTERS_PER_TOKEN = 4
MESSAGE_TOKENS = 4  # overhead of each message
DEFAULT_ANSWER_TOKENS = 24
MAX_CACHE_EVENTS = 256
RESUMABLE_STREAMS = 64  # in units of 8 streams
WORDS = ("ash", "bay", "cod", "dew", "elm", "fir", "gum", "hay", "ivy", "jet")


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity, speed and delays of the engine.

    Times are in seconds, rates in tokens per second, capacities in tokens.

    A step takes `step` seconds and `step_share` more for each running sequence. It
    prefills up to `prefill_chunk` tokens and decodes `group` tokens per sequence.
    `host_tokens` limits exported prefixes. The reported load is `load_lag` old, and
    cache events are visible after `event_lag`; with `event_gap`, those whose number
    is a multiple of it are lost.
    """

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
    """What the engine answers, as set by the `stand_in` field of a request."""

    answer_tokens: int | None = None
    tool: str | None = None
    ignore_limit: bool = False


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a chat message that the engine uses."""

    role: str
    content: Any = None


class ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a chat request that the engine uses."""

    messages: list[ChatMessage]
    model: str = ""
    max_tokens: int | None = None
    priority: float = 0.0
    stand_in: Hints = Hints()


class Phase(Enum):
    """Progress of a sequence."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    ENDED = "ended"


class Sequence:
    """A request in the batch, with its prompt and the answer so far."""

    def __init__(self, *, body: ChatBody, key: str, stream: str, order: int) -> None:
        self.key = key
        self.stream = stream
        self.order = order
        self.priority = body.priority
        self.model = body.model
        self.hints = body.stand_in
        self.digests: list[str] = []
        self.message_tokens: list[int] = []
        prefix_hash = xxhash.xxh3_64()
        for message in body.messages:
            text = str(message.content or "")
            prefix_hash.update(f"{message.role}\0{text}\0".encode())
            self.digests.append(prefix_hash.hexdigest())
            self.message_tokens.append(
                len(text) // CHARACTERS_PER_TOKEN + MESSAGE_TOKENS
            )
        self.prompt_tokens = sum(self.message_tokens)
        requested = self.hints.answer_tokens or DEFAULT_ANSWER_TOKENS
        limit = body.max_tokens or requested
        self.answer_tokens = (
            requested if self.hints.ignore_limit else min(requested, limit)
        )
        self.seed = prefix_hash.intdigest()
        self._prefix_hash = prefix_hash
        self.cached_tokens = 0
        self.prefilled_tokens = 0
        self.decoded_tokens = 0
        self.phase = Phase.WAITING
        self.cancelled = False
        self.chunks: list[str] = []
        self.events: queue.SimpleQueue[int | None] = queue.SimpleQueue()

    @property
    def reserved_tokens(self) -> int:
        """Return the tokens of cache memory that the complete sequence needs."""
        return self.prompt_tokens + self.answer_tokens

    def extended_prefix(self) -> tuple[str, int]:
        """Return the digest of the prefix with the answer, and the answer's tokens."""
        text = "".join(self.chunks)
        full_hash = self._prefix_hash.copy()
        full_hash.update(f"assistant\0{text}\0".encode())
        return full_hash.hexdigest(), len(text) // CHARACTERS_PER_TOKEN + MESSAGE_TOKENS

    def text(self, start: int, count: int) -> str:
        """Return `count` words of the answer, which depends on the prompt only."""
        words = (
            WORDS[(self.seed + 7 * position) % len(WORDS)]
            for position in range(start, start + count)
        )
        return "".join(word + " " for word in words)


class CacheEntry(msgspec.Struct, kw_only=True):
    """Cached prefix of one key, with a digest for each message."""

    digests: list[str]
    tokens: int


class EngineStandIn:
    """Serve chat completions from a simulated engine.

    The next `cut_streams` responses are cut off after three events.
    """

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
        self._load_samples: list[tuple[float, int, int]] = [(0.0, 0, 0)]
        self._highest_fencing_token = 0
        self._orders: list[str] = []
        self._counter = itertools.count()
        self._stopped = False
        self._server = StandInServer(
            routes=[
                ("POST", "/v1/chat/completions", self._complete_chat),
                ("GET", "/v1/streams/<stream>", self._resume_stream),
                ("DELETE", "/v1/streams/<stream>", self._cancel_stream),
                ("GET", "/v1/load", self._report_load),
                ("GET", "/v1/cache", self._list_cache),
                ("GET", "/v1/cache/events", self._cache_events),
                ("DELETE", "/v1/cache/<key>", self._free_cached),
                ("POST", "/v1/cache/<key>/export", self._export_cached),
                ("POST", "/v1/cache/<key>/import", self._import_cached),
                ("POST", "/v1/orders", self._accept_order),
                ("GET", "/v1/orders", self._list_orders),
                ("GET", "/v1/statistics", self._statistics),
            ],
            port=port,
        )
        self._batch_thread = threading.Thread(target=self._run_batches, daemon=True)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self._server.url

    @property
    def cache_keys(self) -> list[str]:
        """Return the keys whose prefixes are cached or exported."""
        with self._lock:
            return list(self._cache) + list(self._exported)

    def start(self) -> None:
        """Start the server and the batch thread."""
        self._server.start()
        self._batch_thread.start()

    def stop(self) -> None:
        """Stop the server and the batch thread."""
        with self._lock:
            self._stopped = True
            self._lock.notify_all()
        self._server.stop()

    # Batching and the cache.

    def _run_batches(self) -> None:
        while True:
            with self._lock:
                while not self._waiting and not self._running:
                    if self._stopped:
                        return
                    self._lock.wait(0.5)
                if self._stopped:
                    return
                self._admit()
                duration = self._step()
            time.sleep(duration)

    def _admit(self) -> None:
        self._waiting = [
            sequence for sequence in self._waiting if not sequence.cancelled
        ]
        self._waiting.sort(key=lambda sequence: (sequence.priority, sequence.order))
        while self._waiting and len(self._running) < self.options.slots:
            candidate = self._waiting[0]
            if not self._evict_for(candidate):
                return
            self._waiting.pop(0)
            self._start_sequence(candidate)

    def _evict_for(self, sequence: Sequence) -> bool:
        """Evict prefixes for a sequence; return False if running ones leave no room."""
        used = (
            sum(other.reserved_tokens for other in self._running)
            + sequence.reserved_tokens
        )
        if used > self.options.cache_tokens and self._running:
            return False
        own_entry = self._cache.get(sequence.key)
        available = (
            self.options.cache_tokens - used + (own_entry.tokens if own_entry else 0)
        )
        while sum(entry.tokens for entry in self._cache.values()) > max(available, 0):
            evicted_key = next(
                (key for key in self._cache if key != sequence.key), None
            )
            if evicted_key is None:
                return True
            self._remove_cached(evicted_key, "evicted")
        return True

    def _start_sequence(self, sequence: Sequence) -> None:
        entry = self._cache.pop(sequence.key, None)
        if entry is not None:
            matched_messages = 0
            for digest, cached_digest in zip(
                sequence.digests, entry.digests, strict=False
            ):
                if digest != cached_digest:
                    break
                matched_messages += 1
            sequence.cached_tokens = sum(sequence.message_tokens[:matched_messages])
        sequence.prefilled_tokens = sequence.cached_tokens
        sequence.phase = Phase.PREFILL
        self.prompt_tokens += sequence.prompt_tokens
        self.cached_tokens += sequence.cached_tokens
        self._running.append(sequence)

    def _step(self) -> float:
        """Advance all running sequences and return the seconds that this takes."""
        options = self.options
        prefill_budget = options.prefill_chunk
        duration = options.step + options.step_share * len(self._running)
        for sequence in list(self._running):
            if sequence.cancelled:
                self._finish_sequence(sequence)
            elif sequence.phase is Phase.PREFILL:
                prefill_tokens = min(
                    prefill_budget, sequence.prompt_tokens - sequence.prefilled_tokens
                )
                sequence.prefilled_tokens += prefill_tokens
                prefill_budget -= prefill_tokens
                duration += prefill_tokens / options.prefill_rate
                if sequence.prefilled_tokens >= sequence.prompt_tokens:
                    sequence.phase = Phase.DECODE
            else:
                self._decode(sequence)
        self._record_load()
        return duration

    def _decode(self, sequence: Sequence) -> None:
        count = min(
            self.options.group, sequence.answer_tokens - sequence.decoded_tokens
        )
        sequence.chunks.append(sequence.text(sequence.decoded_tokens, count))
        sequence.decoded_tokens += count
        sequence.events.put(len(sequence.chunks))
        if sequence.decoded_tokens >= sequence.answer_tokens:
            self._finish_sequence(sequence)

    def _finish_sequence(self, sequence: Sequence) -> None:
        self._running.remove(sequence)
        sequence.phase = Phase.ENDED
        sequence.events.put(None)
        if sequence.cancelled:
            return
        # The next prompt includes the answer.
        digest, size = sequence.extended_prefix()
        entry = CacheEntry(
            digests=[*sequence.digests, digest],
            tokens=sequence.prompt_tokens + size,
        )
        self._cache[sequence.key] = entry
        self._record_event(sequence.key, "stored")

    def _remove_cached(self, key: str, event: str) -> None:
        self._cache.pop(key, None)
        self._record_event(key, event)

    def _record_event(self, key: str, event: str) -> None:
        number = next(self._counter)
        self.event_counts[event] += 1
        gap = self.options.event_gap
        if gap and number % gap == 0:
            return
        visible_at = time.monotonic() + self.options.event_lag
        self._events.append((visible_at, number, event, key))
        del self._events[:-MAX_CACHE_EVENTS]

    def _record_load(self) -> None:
        now = time.monotonic()
        self._load_samples.append((now, len(self._running), len(self._waiting)))
        cutoff = now - self.options.load_lag
        while len(self._load_samples) > 1 and self._load_samples[1][0] <= cutoff:
            self._load_samples.pop(0)

    # HTTP handlers.

    def _complete_chat(self, request: Request) -> Response:
        try:
            body = msgspec.json.decode(request.get_data(), type=ChatBody)
        except msgspec.ValidationError as error:
            return json_response({"error": {"message": str(error)}}, 400)
        key = request.headers.get("X-Cache-Key", "")
        with self._lock:
            number = next(self._counter)
            stream = request.headers.get("X-Stream-Id", f"stream-{number}")
            sequence = Sequence(body=body, key=key, stream=stream, order=number)
            self.requests += 1
            self._streams[stream] = sequence
            while len(self._streams) > RESUMABLE_STREAMS * 8:
                self._streams.popitem(last=False)
            self._waiting.append(sequence)
            self._lock.notify_all()
        return self._stream_response(sequence, 0)

    def _resume_stream(self, request: Request, stream: str) -> Response:
        sequence = self._streams.get(stream)
        if sequence is None:
            return json_response({"error": {"message": "no such stream"}}, 404)
        return self._stream_response(sequence, int(request.args.get("from", "0")))

    def _stream_response(self, sequence: Sequence, start: int) -> Response:
        cut_at = None
        if self.cut_streams > 0:
            self.cut_streams -= 1
            cut_at = start + 3
        events = self._generate_events(sequence, start, cut_at)
        return Response(events, mimetype="text/event-stream")

    def _generate_events(
        self, sequence: Sequence, start: int, cut_at: int | None
    ) -> Iterator[bytes]:
        sent = start
        while True:
            ended = sequence.phase is Phase.ENDED
            while sent < len(sequence.chunks):
                if cut_at is not None and sent >= cut_at:
                    raise ConnectionResetError(
                        "the stream was cut by an injected fault"
                    )
                yield self._content_event(sequence, sequence.chunks[sent])
                sent += 1
            if ended:
                break
            try:
                sequence.events.get(timeout=0.5)
            except queue.Empty:
                if self._stopped:
                    raise ConnectionResetError("the engine stopped") from None
        yield self._final_event(sequence)
        yield b"data: [DONE]\n\n"

    def _content_event(self, sequence: Sequence, text: str) -> bytes:
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
        return _encode_event(sequence, [choice], None)

    def _final_event(self, sequence: Sequence) -> bytes:
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
            "prompt_tokens": sequence.prompt_tokens,
            "completion_tokens": sequence.decoded_tokens,
            "total_tokens": sequence.prompt_tokens + sequence.decoded_tokens,
            "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
        }
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        return _encode_event(sequence, [choice], usage)

    def _cancel_stream(self, request: Request, stream: str) -> Response:
        sequence = self._streams.get(stream)
        if sequence is not None:
            with self._lock:
                sequence.cancelled = True
                if sequence.phase is Phase.WAITING:
                    sequence.phase = Phase.ENDED
                    sequence.events.put(None)
        return json_response({})

    def _report_load(self, request: Request) -> Response:
        with self._lock:
            if not self._running and not self._waiting:
                self._record_load()
            _, running, waiting = self._load_samples[0]
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
                {"number": number, "what": event, "key": key}
                for visible_at, number, event, key in self._events
                if visible_at <= now and number >= start
            ]
        return json_response(events)

    def _has_stale_fencing_token(self, request: Request) -> bool:
        """Return whether the fencing token is lower than that of an earlier request."""
        number = int(request.headers.get("X-Fencing", "0"))
        if not self.options.checks_fencing:
            return False
        if number < self._highest_fencing_token:
            return True
        self._highest_fencing_token = number
        return False

    def _free_cached(self, request: Request, key: str) -> Response:
        with self._lock:
            self._remove_cached(key, "freed")
            self._exported.pop(key, None)
        return json_response({})

    def _export_cached(self, request: Request, key: str) -> Response:
        with self._lock:
            entry = self._cache.pop(key, None)
            if entry is None:
                return json_response({"error": {"message": "not cached"}}, 404)
            exported_tokens = sum(
                exported.tokens for exported in self._exported.values()
            )
            if exported_tokens + entry.tokens > self.options.host_tokens:
                self._record_event(key, "evicted")
                return json_response(
                    {"error": {"message": "no memory left for exports"}}, 507
                )
            self._exported[key] = entry
            self._record_event(key, "exported")
        time.sleep(entry.tokens / self.options.import_rate)
        return json_response({"tokens": entry.tokens})

    def _import_cached(self, request: Request, key: str) -> Response:
        with self._lock:
            entry = self._exported.pop(key, None)
            if entry is None:
                return json_response({"error": {"message": "not exported"}}, 404)
            self._cache[key] = entry
            self._record_event(key, "imported")
        time.sleep(entry.tokens / self.options.import_rate)
        return json_response({"tokens": entry.tokens})

    def _accept_order(self, request: Request) -> Response:
        if self._has_stale_fencing_token(request):
            return json_response({"error": {"message": "stale fencing token"}}, 409)
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


def _encode_event(
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
