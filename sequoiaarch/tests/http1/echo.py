"""Handler of requests for tests."""

from __future__ import annotations

from ...http1.messages import RequestMessage
from ...http1.server_connection import ResponseWriter


async def answer_at_once(message: RequestMessage, writer: ResponseWriter) -> None:
    """Answer with the target of the request."""
    await writer.send_response(200, [], message.target)
