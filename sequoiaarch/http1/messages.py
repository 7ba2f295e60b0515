"""Define HTTP/1.1 requests, responses and the errors of an exchange."""

from __future__ import annotations

from enum import Enum

import msgspec

Headers = list[tuple[bytes, bytes]]

# Hop-by-hop headers (RFC 9110, section 7.6.1) and those that frame the body;
# they are not forwarded.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


class RequestMessage(msgspec.Struct, kw_only=True):
    """A complete request; header names keep the case in which they were sent."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; `name` is in lower case."""
        return find_header(self.headers, name)


class ResponseHead(msgspec.Struct, kw_only=True):
    """Status line and headers of a response."""

    status: int
    reason: bytes
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; `name` is in lower case."""
        return find_header(self.headers, name)


class ExchangeFault(Enum):
    """How an exchange with a target failed."""

    REFUSED = "the connection was not established"
    RESET = "the connection was reset"
    TRUNCATED = "the response ended early"
    GARBLED = "the response was not valid HTTP"
    TIMEOUT = "no answer came in time"


class ExchangeError(Exception):
    """Failure of an exchange; `sent` tells whether the request was written."""

    def __init__(self, fault: ExchangeFault, detail: str = "", *, sent: bool) -> None:
        super().__init__(f"{fault.value} {detail}".rstrip())
        self.fault = fault
        self.sent = sent


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; `name` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    connection_header = find_header(headers, b"connection") or b""
    connection_options = {
        token.strip().lower() for token in connection_header.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS and name.lower() not in connection_options
    ]
