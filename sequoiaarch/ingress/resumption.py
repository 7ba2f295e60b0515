"""Find the version of a service at which a stream may go on."""

from __future__ import annotations

import msgspec

from ..errors import ErrorKind, FailureError, fail
from ..http1.messages import RequestMessage
from ..policies.stream_origins import SEPARATOR, Origin, StreamKeys, stream_keys
from ..routing.routes import Route
from ..workspaces.access import Caller
from .calls import RequestInfo
from .dispatcher import Dispatcher

# Seconds after its deadline in which a stream may still be resumed: callers come back
# at once, or after the time of a refusal.
RESUME_MARGIN = 30.0


class Resumption(msgspec.Struct, frozen=True, kw_only=True):
    """Origin of a stream that goes on, with the host that knew it."""

    origin: Origin
    source: str
    age: float

    def describe(self) -> str:
        """Return the origin and how it was known, for the request log."""
        return (
            f"began at {self.origin.service} {self.origin.version},"
            f" known {self.source} for {self.age:.2f} s"
        )


def not_resumable(reason: str) -> FailureError:
    """Return the failure of a request whose stream can't go on."""
    return fail(ErrorKind.NOT_RESUMABLE, reason)


def no_target_left(origin: Origin) -> FailureError:
    """Return the failure of a stream whose version has no target any more."""
    return not_resumable(f"no target of {origin.service} {origin.version} is left")


def keys_of(message: RequestMessage, info: RequestInfo, caller: Caller) -> StreamKeys:
    """Return the keys of the stream that a request begins or resumes."""
    first = info.resumes if info.resumes_stream else info.attempt
    workspace = caller.workspace or ""
    line = f"{info.program}{SEPARATOR}{info.session}{SEPARATOR}".encode()
    return stream_keys(workspace, first, line + message.target + message.body)


async def find_resumption(
    dispatcher: Dispatcher, route: Route, keys: StreamKeys
) -> Resumption:
    """Return where a stream began; raises FailureError if it can't go on.

    Targets don't check whether they can go on with what another version wrote, so a
    stream whose version is not certain is refused.
    """
    if route.retained:
        raise not_resumable("a kept turn would lack the events of earlier attempts")
    known = await dispatcher.origins.find(keys)
    if known is None:
        raise not_resumable("it is not known at which version the stream began")
    if known.origin is None:
        raise not_resumable("several versions are known for the stream")
    if not dispatcher.targets_of_origin(route, known.origin):
        raise no_target_left(known.origin)
    return Resumption(origin=known.origin, source=known.source, age=known.age)
