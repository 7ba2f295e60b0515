"""Send requests to delegates, which acknowledge them before handling them."""

from __future__ import annotations

from ..reply_timeout import reply_timeout
from ..wire.links import Link
from ..wire.messages import (
    CommitTurnRequest,
    ConfirmTurnRequest,
    CoverTurnRequest,
    Failed,
    OpenTurnRequest,
    Reply,
)
from .turn_server import failure_reply

# Timeout for the acknowledgement, which a healthy delegate sends at once. Seconds.
FIRST_REPLY_TIMEOUT = 0.1
# Timeout between later replies, which may wait for a slow store. Seconds.
NEXT_REPLY_TIMEOUT = 1.5


async def call_delegate(
    link: Link,
    request: OpenTurnRequest
    | ConfirmTurnRequest
    | CoverTurnRequest
    | CommitTurnRequest,
    *,
    first_reply_timeout: float = FIRST_REPLY_TIMEOUT,
) -> Reply:
    """Return the last reply to a request, or a failure if a reply is late."""
    replies = link.stream(request)
    last: Reply = failure_reply("no reply")
    try:
        async with reply_timeout(first_reply_timeout) as limit:
            async for reply in replies:
                last = reply
                limit.restart(NEXT_REPLY_TIMEOUT)
    except TimeoutError:
        return failure_reply("no reply in time")
    return last


def failure_reason(reply: Reply) -> str:
    """Return why a request was not carried out, for log lines."""
    return reply.failure.reason if isinstance(reply, Failed) else str(reply)
