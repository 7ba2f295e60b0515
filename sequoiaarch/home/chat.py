"""Read chat requests, and assemble answers from streamed events."""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

from ..errors import ErrorKind, fail

MESSAGE_OVERHEAD = 8
DIGEST_START = ""
NULL = msgspec.Raw(b"null")


class Function(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Name the function of a tool call."""

    name: str = ""
    arguments: str = ""


class ToolCall(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Ask for a tool."""

    id: str = ""
    type: str = "function"
    function: Function = Function()


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold what counts of one message of a history.

    Clients add and drop empty fields as they like, so two messages are the
    same where these fields are.
    """

    role: str
    content: Any = None
    name: str | None = None
    tool_calls: list[ToolCall] | None = None
    tool_call_id: str | None = None


class Chat(msgspec.Struct, kw_only=True):
    """Hold a chat request: its raw fields and what we read of them."""

    raw: dict[str, msgspec.Raw]
    messages: list[ChatMessage]
    model: str
    stream: bool
    max_tokens: int | None
    size: int


class _Fields(msgspec.Struct, kw_only=True):
    """Read the fields of a chat request that we need."""

    messages: list[ChatMessage]
    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None


_ENCODER = msgspec.json.Encoder(order="deterministic")
_FIELDS = msgspec.json.Decoder(_Fields)
_RAW = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_chat(body: bytes) -> Chat:
    """Return the chat request in a body, or fail with the field at fault."""
    try:
        fields = _FIELDS.decode(body)
        raw = _RAW.decode(body)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        field = place.strip("`").removeprefix("$.") or None
        raise fail(ErrorKind.MALFORMED, reason, field=field) from None
    except msgspec.DecodeError as error:
        raise fail(ErrorKind.MALFORMED, f"the body is not JSON: {error}") from None
    if not fields.messages:
        raise fail(ErrorKind.MALFORMED, "must hold a message", field="messages")
    if fields.n not in (None, 1):
        raise fail(ErrorKind.MALFORMED, "only one answer is given", field="n")
    limit = fields.max_completion_tokens or fields.max_tokens
    if limit is not None and limit < 1:
        raise fail(ErrorKind.MALFORMED, "must be at least 1", field="max_tokens")
    return Chat(
        raw=raw,
        messages=fields.messages,
        model=fields.model,
        stream=fields.stream,
        max_tokens=limit,
        size=len(memoryview(raw["messages"])),
    )


def engine_body(chat: Chat, max_tokens: int) -> bytes:
    """Return the body that the engine gets: streamed, bounded, with usage."""
    raw = dict(chat.raw)
    raw.pop("max_completion_tokens", None)
    raw["max_tokens"] = msgspec.Raw(str(max_tokens).encode())
    raw["stream"] = msgspec.Raw(b"true")
    raw["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(raw)


def prompt_bound(chat: Chat, min_bytes_per_token: float) -> int:
    """Return a number of tokens that the prompt can't exceed.

    A byte-level tokenizer never makes more tokens than there are bytes; a
    target whose tokenizer is known may state a higher bound.
    """
    overhead = MESSAGE_OVERHEAD * len(chat.messages)
    return int(chat.size / min_bytes_per_token) + overhead


def estimate_tokens(chat: Chat) -> int:
    """Return about how many tokens the prompt has."""
    return chat.size // 4 + len(chat.messages)


def digest_chain(messages: list[ChatMessage], start: str = DIGEST_START) -> str:
    """Return the digest of a history that goes on from an earlier digest."""
    digest = start
    for message in messages:
        data = _ENCODER.encode(message)
        digest = xxhash.xxh3_128_hexdigest(digest.encode() + data)
    return digest


def encode_messages(messages: list[ChatMessage]) -> bytes:
    """Return messages as they stand in a commit."""
    return _ENCODER.encode(messages)


def decode_messages(data: bytes) -> list[ChatMessage]:
    """Return the messages that stand in a commit."""
    return msgspec.json.decode(data, type=list[ChatMessage]) if data else []


class _DeltaFunction(msgspec.Struct):
    """Read a part of a function."""

    name: str | None = None
    arguments: str | None = None


class _DeltaCall(msgspec.Struct):
    """Read a part of a tool call."""

    index: int = 0
    id: str | None = None
    function: _DeltaFunction | None = None


class _Delta(msgspec.Struct):
    """Read a part of a message."""

    content: str | None = None
    tool_calls: list[_DeltaCall] | None = None


class _ChoicePart(msgspec.Struct):
    """Read a part of a choice."""

    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    """Read one streamed event."""

    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_ChoicePart] = []
    usage: msgspec.Raw = NULL


class AnswerMessage(msgspec.Struct, kw_only=True):
    """Hold the message of a whole answer."""

    role: str = "assistant"
    content: str | None = None
    tool_calls: list[ToolCall] | msgspec.UnsetType = msgspec.UNSET


class AnswerChoice(msgspec.Struct, kw_only=True):
    """Hold the choice of a whole answer."""

    index: int = 0
    message: AnswerMessage
    finish_reason: str | None


class WholeAnswer(msgspec.Struct, kw_only=True):
    """Hold a whole answer as callers know it."""

    id: str
    object: str = "chat.completion"
    created: int = 0
    model: str
    choices: list[AnswerChoice]
    usage: msgspec.Raw = NULL


_EVENTS = msgspec.json.Decoder(_Event)


class AnswerBuilder:
    """Assemble a whole answer from the payloads of its events."""

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._calls: dict[int, ToolCall] = {}
        self._finish: str | None = None
        self._last = _Event()
        self._usage = NULL
        self.pieces = 0

    def add(self, payload: bytes) -> None:
        """Take in one event."""
        try:
            event = _EVENTS.decode(payload)
        except msgspec.DecodeError:
            return
        self._last = event
        if event.usage != NULL:
            self._usage = event.usage
        for choice in event.choices:
            self._finish = choice.finish_reason or self._finish
            if choice.delta.content:
                self.pieces += 1
                self._texts.append(choice.delta.content)
            for part in choice.delta.tool_calls or ():
                self._add_call(part)

    def _add_call(self, part: _DeltaCall) -> None:
        known = self._calls.get(part.index, ToolCall())
        function = part.function or _DeltaFunction()
        self._calls[part.index] = ToolCall(
            id=part.id or known.id,
            function=Function(
                name=function.name or known.function.name,
                arguments=known.function.arguments + (function.arguments or ""),
            ),
        )

    def cut(self) -> None:
        """Note that the answer was cut at its bound."""
        self._finish = "length"

    @property
    def message(self) -> ChatMessage:
        """Return the message as it goes into the history."""
        return ChatMessage(
            role="assistant",
            content="".join(self._texts) or None,
            tool_calls=self._tool_calls or None,
        )

    @property
    def _tool_calls(self) -> list[ToolCall]:
        return [self._calls[index] for index in sorted(self._calls)]

    def body(self) -> bytes:
        """Return the whole answer."""
        message = AnswerMessage(content="".join(self._texts) or None)
        if self._calls:
            message.tool_calls = self._tool_calls
        answer = WholeAnswer(
            id=self._last.id,
            created=self._last.created,
            model=self._last.model,
            choices=[AnswerChoice(message=message, finish_reason=self._finish)],
            usage=self._usage,
        )
        return msgspec.json.encode(answer)


def replay_events(body: bytes) -> list[bytes]:
    """Return the events that stream an answer which is whole already."""
    answer = msgspec.json.decode(body, type=WholeAnswer)
    choice = answer.choices[0]
    delta: dict[str, Any] = {"role": "assistant", "content": choice.message.content}
    calls = choice.message.tool_calls
    if calls is not msgspec.UNSET:
        delta["tool_calls"] = [
            {"index": index, **msgspec.to_builtins(call)}
            for index, call in enumerate(calls)
        ]
    event: dict[str, Any] = {
        "id": answer.id,
        "object": "chat.completion.chunk",
        "created": answer.created,
        "model": answer.model,
        "choices": [
            {"index": 0, "delta": delta, "finish_reason": choice.finish_reason}
        ],
    }
    if answer.usage != NULL:
        event["usage"] = answer.usage
    return [msgspec.json.encode(event)]
