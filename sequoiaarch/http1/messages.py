"""Hold the requests and responses that pass through the process."""

from __future__ import annotations

from enum import Enum

import msgspec

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and those
# that frame a body: each hop sets its own.
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
    """Hold a whole request; `headers` keep the spelling of their sender."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its lowercase name."""
        return find_header(self.headers, name)


class ResponseHead(msgspec.Struct, kw_only=True):
    """Hold the status and headers of a response."""

    status: int
    reason: bytes
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its lowercase name."""
        return find_header(self.headers, name)


class ExchangeFault(Enum):
    """Say how an exchange with a target failed."""

    REFUSED = "the connection was not established"
    RESET = "the connection was reset"
    TRUNCATED = "the response ended early"
    GARBLED = "the response was not valid HTTP"
    TIMEOUT = "no answer came in time"


class ExchangeError(Exception):
    """Carry a failed exchange; `sent` says whether bytes of it went out."""

    def __init__(self, fault: ExchangeFault, detail: str = "", *, sent: bool) -> None:
        super().__init__(f"{fault.value} {detail}".rstrip())
        self.fault = fault
        self.sent = sent


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, by its lowercase name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are meant for the far end."""
    named = find_header(headers, b"connection") or b""
    listed = {token.strip().lower() for token in named.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS and name.lower() not in listed
    ]
