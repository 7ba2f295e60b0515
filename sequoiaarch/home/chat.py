"""Parse chat completion requests, and assemble answers from streamed chunks."""

from __future__ import annotations

from typing import Any

import msgspec
import xxhash

from ..errors import ErrorKind, fail

MESSAGE_OVERHEAD = 8  # tokens
EMPTY_DIGEST = ""
NULL = msgspec.Raw(b"null")


class Function(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Function of a tool call."""

    name: str = ""
    arguments: str = ""


class ToolCall(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Call of a tool, requested by the model."""

    id: str = ""
    type: str = "function"
    function: Function = Function()


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Fields of a message that are part of the history.

    Messages are equal if these fields are; clients may add or omit empty fields.
    """

    role: str
    content: Any = None
    name: str | None = None
    tool_calls: list[ToolCall] | None = None
    tool_call_id: str | None = None


class Chat(msgspec.Struct, kw_only=True):
    """Chat request: its raw fields and those that are parsed.

    `size` is the length of the raw messages in bytes.
    """

    raw: dict[str, msgspec.Raw]
    messages: list[ChatMessage]
    model: str
    stream: bool
    max_tokens: int | None
    size: int


class _ChatFields(msgspec.Struct, kw_only=True):
    """Fields of a chat request that are parsed."""

    messages: list[ChatMessage]
    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None


_ENCODER = msgspec.json.Encoder(order="deterministic")
_FIELDS_DECODER = msgspec.json.Decoder(_ChatFields)
_RAW_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_chat(body: bytes) -> Chat:
    """Parse a chat request; raise FailureError with the name of an invalid field."""
    try:
        fields = _FIELDS_DECODER.decode(body)
        raw = _RAW_DECODER.decode(body)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at ")
        field = path.strip("`").removeprefix("$.") or None
        raise fail(ErrorKind.MALFORMED, reason, field=field) from None
    except msgspec.DecodeError as error:
        raise fail(ErrorKind.MALFORMED, f"the body is not JSON: {error}") from None
    if not fields.messages:
        raise fail(
            ErrorKind.MALFORMED, "must contain at least one message", field="messages"
        )
    if fields.n not in (None, 1):
        raise fail(ErrorKind.MALFORMED, "only one choice is supported", field="n")
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
    """Return the body for the engine: streamed, with usage and a token limit."""
    raw = dict(chat.raw)
    raw.pop("max_completion_tokens", None)
    raw["max_tokens"] = msgspec.Raw(str(max_tokens).encode())
    raw["stream"] = msgspec.Raw(b"true")
    raw["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(raw)


def max_prompt_tokens(chat: Chat, min_bytes_per_token: float) -> int:
    """Return an upper bound of the prompt's tokens.

    A byte-level tokenizer makes at most one token per byte; targets may configure a
    higher `min_bytes_per_token`.
    """
    overhead = MESSAGE_OVERHEAD * len(chat.messages)
    return int(chat.size / min_bytes_per_token) + overhead


def estimate_tokens(chat: Chat) -> int:
    """Return an estimate of the prompt's tokens."""
    return chat.size // 4 + len(chat.messages)


def digest_chain(messages: list[ChatMessage], start: str = EMPTY_DIGEST) -> str:
    """Return the digest of a history that continues one with digest `start`."""
    digest = start
    for message in messages:
        data = _ENCODER.encode(message)
        digest = xxhash.xxh3_128_hexdigest(digest.encode() + data)
    return digest


def encode_messages(messages: list[ChatMessage]) -> bytes:
    """Encode messages for a commit."""
    return _ENCODER.encode(messages)


def decode_messages(data: bytes) -> list[ChatMessage]:
    """Decode the messages of a commit."""
    return msgspec.json.decode(data, type=list[ChatMessage]) if data else []


class _FunctionDelta(msgspec.Struct):
    """Part of the function of a tool call in a chunk."""

    name: str | None = None
    arguments: str | None = None


class _ToolCallDelta(msgspec.Struct):
    """Part of a tool call in a chunk."""

    index: int = 0
    id: str | None = None
    function: _FunctionDelta | None = None


class _Delta(msgspec.Struct):
    """Part of a message in a chunk."""

    content: str | None = None
    tool_calls: list[_ToolCallDelta] | None = None


class _ChunkChoice(msgspec.Struct):
    """Choice of a chunk."""

    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _CompletionChunk(msgspec.Struct):
    """One streamed chunk of a chat completion."""

    id: str = ""
    created: int = 0
    model: str = ""
    choices: list[_ChunkChoice] = []
    usage: msgspec.Raw = NULL


class CompletionMessage(msgspec.Struct, kw_only=True):
    """Message of a complete chat completion."""

    role: str = "assistant"
    content: str | None = None
    tool_calls: list[ToolCall] | msgspec.UnsetType = msgspec.UNSET


class CompletionChoice(msgspec.Struct, kw_only=True):
    """Choice of a complete chat completion."""

    index: int = 0
    message: CompletionMessage
    finish_reason: str | None


class ChatCompletion(msgspec.Struct, kw_only=True):
    """Complete chat completion, as sent to callers that do not stream."""

    id: str
    object: str = "chat.completion"
    created: int = 0
    model: str
    choices: list[CompletionChoice]
    usage: msgspec.Raw = NULL


_CHUNK_DECODER = msgspec.json.Decoder(_CompletionChunk)


class AnswerBuilder:
    """Assemble a chat completion from its streamed chunks."""

    def __init__(self) -> None:
        self._content: list[str] = []
        self._tool_calls_by_index: dict[int, ToolCall] = {}
        self._finish_reason: str | None = None
        self._last_chunk = _CompletionChunk()
        self._usage = NULL
        self.content_chunks = 0

    def add(self, payload: bytes) -> None:
        """Add the payload of one event; ignore invalid ones."""
        try:
            chunk = _CHUNK_DECODER.decode(payload)
        except msgspec.DecodeError:
            return
        self._last_chunk = chunk
        if chunk.usage != NULL:
            self._usage = chunk.usage
        for choice in chunk.choices:
            self._finish_reason = choice.finish_reason or self._finish_reason
            if choice.delta.content:
                self.content_chunks += 1
                self._content.append(choice.delta.content)
            for part in choice.delta.tool_calls or ():
                self._add_call(part)

    def _add_call(self, part: _ToolCallDelta) -> None:
        known = self._tool_calls_by_index.get(part.index, ToolCall())
        function = part.function or _FunctionDelta()
        self._tool_calls_by_index[part.index] = ToolCall(
            id=part.id or known.id,
            function=Function(
                name=function.name or known.function.name,
                arguments=known.function.arguments + (function.arguments or ""),
            ),
        )

    def mark_truncated(self) -> None:
        """Mark the answer as truncated at its token limit."""
        self._finish_reason = "length"

    @property
    def message(self) -> ChatMessage:
        """Return the message for the history."""
        return ChatMessage(
            role="assistant",
            content="".join(self._content) or None,
            tool_calls=self._tool_calls or None,
        )

    @property
    def _tool_calls(self) -> list[ToolCall]:
        return [
            self._tool_calls_by_index[index]
            for index in sorted(self._tool_calls_by_index)
        ]

    def body(self) -> bytes:
        """Return the JSON body of the complete answer."""
        message = CompletionMessage(content="".join(self._content) or None)
        if self._tool_calls_by_index:
            message.tool_calls = self._tool_calls
        answer = ChatCompletion(
            id=self._last_chunk.id,
            created=self._last_chunk.created,
            model=self._last_chunk.model,
            choices=[
                CompletionChoice(message=message, finish_reason=self._finish_reason)
            ],
            usage=self._usage,
        )
        return msgspec.json.encode(answer)


def replay_events(body: bytes) -> list[bytes]:
    """Return the events that stream a complete answer."""
    answer = msgspec.json.decode(body, type=ChatCompletion)
    choice = answer.choices[0]
    delta: dict[str, Any] = {"role": "assistant", "content": choice.message.content}
    calls = choice.message.tool_calls
    if calls is not msgspec.UNSET:
        delta["tool_calls"] = [
            {"index": index, **msgspec.to_builtins(call)}
            for index, call in enumerate(calls)
        ]
    chunk: dict[str, Any] = {
        "id": answer.id,
        "object": "chat.completion.chunk",
        "created": answer.created,
        "model": answer.model,
        "choices": [
            {"index": 0, "delta": delta, "finish_reason": choice.finish_reason}
        ],
    }
    if answer.usage != NULL:
        chunk["usage"] = answer.usage
    return [msgspec.json.encode(chunk)]
