"""A gateway gets SIGTERM while clients read their answers slowly.

Clients send unsafe requests of the sizes of the sheet on connections that they keep and
read each answer in about a second, well within their deadline. The platform stops the
gateway in order. The check is LOST, around planned work: a request that was passed on
to a server gets its complete answer.
"""

from __future__ import annotations

import asyncio
import math
import random
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    TOOLS,
    Answer,
    Deployment,
    Gateway,
    expected_body,
    route,
    run_case,
    whole_answer,
)

# `bid-confirm` of the sheet: 600 B in, up to 4,800 B out, 78.1 ms of work
# (600 at most), answered within 3,022 ms.
REQUEST_BYTES = 600
ANSWER_BYTES = 4800
MEAN_WORK_SECONDS = 0.078
MAX_WORK_SECONDS = 0.6
DEADLINE = 3.0
SERVERS = 4
CLIENTS = 120
# Time between the starts of two requests of a client.
PERIOD = 3.0
# A client reads so many bytes at once, and then waits.
PIECE_BYTES = 256
PIECE_SECONDS = 0.05
SIGTERM_AT = 4.0
SECONDS = 8.0
GRACE = 8.0


class SlowClient:
    """Client with a small window that reads slowly, on one connection."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        # The kernel takes the smallest window that it has.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        self._socket.setblocking(False)

    async def open(self, gateway: Gateway) -> None:
        """Connect to a gateway."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, gateway.address)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    async def request(self, attempt: str) -> Answer:
        """Send a request and read its answer slowly."""
        started = time.monotonic()
        answer = Answer(attempt=attempt)
        head = (
            f"POST /once/bid HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE * 1000)}\r\n"
            f"Content-Length: {REQUEST_BYTES}\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DEADLINE):
                request = head.encode() + b"b" * REQUEST_BYTES
                await loop.sock_sendall(self._socket, request)
                await self._read(answer)
        except (OSError, TimeoutError) as error:
            answer.error = f"{type(error).__name__}: {error}"
        answer.seconds = time.monotonic() - started
        return answer

    async def _read(self, answer: Answer) -> None:
        loop = asyncio.get_running_loop()
        received = b""
        while not answer.complete:
            piece = await loop.sock_recv(self._socket, PIECE_BYTES)
            if not piece:
                raise ConnectionError("the connection was closed")
            received += piece
            head, end, answer.body = received.partition(b"\r\n\r\n")
            if end:
                lines = head.decode().split("\r\n")
                answer.status = int(lines[0].split()[1])
                pairs = [line.split(":", 1) for line in lines[1:]]
                answer.headers = {name.lower(): text.strip() for name, text in pairs}
                length = int(answer.headers["content-length"])
                answer.complete = len(answer.body) == length
            if not answer.complete:
                await asyncio.sleep(PIECE_SECONDS)


async def case(deployment: Deployment) -> bool:
    """Stop a gateway under slow clients; return whether LOST was broken."""
    record = deployment.record
    rng = random.Random(1)

    def work_seconds() -> float:
        # The mean of a lognormal distribution is exp(mu + sigma ** 2 / 2).
        work = rng.lognormvariate(math.log(MEAN_WORK_SECONDS) - 0.5, 1.0)
        return min(work, MAX_WORK_SECONDS)

    await deployment.start([route("/once/", "unsafe", TOOLS)])
    for number in range(1, SERVERS + 1):
        behave = whole_answer(ANSWER_BYTES, work_seconds)
        await deployment.add_server(TOOLS, f"i-tools-{number}", behave)
    await deployment.add_gateways(1)
    gateway = deployment.gateways[0]
    answers: list[Answer] = []
    started = time.monotonic()

    async def client(number: int) -> None:
        slow = SlowClient()
        await slow.open(gateway)
        await asyncio.sleep(number * PERIOD / CLIENTS)
        while time.monotonic() < started + SECONDS:
            attempt = deployment.attempt()
            record.line(f"request {attempt}")
            answer = await slow.request(attempt)
            record.line(answer.describe())
            answers.append(answer)
            # A client keeps its connection until it is told or closed.
            if not answer.complete or answer.headers.get("connection") == "close":
                break
            await asyncio.sleep(PERIOD - answer.seconds)
        slow.close()

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(SIGTERM_AT)
    if deployment.trouble:
        gateway.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        ended = await gateway.wait_ended(GRACE)
        record.line(
            f"ended in time: {ended}, {time.monotonic() - stopped_at:.2f} s after"
        )
    await asyncio.gather(*clients)
    cut = [answer for answer in answers if is_cut(deployment, answer)]
    for answer in cut:
        record.line(
            f"LOST: {answer.attempt} ran at a server, and its answer ended after"
            f" {len(answer.body)} of {ANSWER_BYTES} bytes, {answer.seconds:.2f} s after"
            f" the request, of {DEADLINE} s: {answer.error}"
        )
    whole = sum(
        answer.complete and answer.body == expected_body(answer.attempt, ANSWER_BYTES)
        for answer in answers
    )
    record.result(
        f"{len(answers)} requests, {whole} whole answers, {len(cut)} answers cut off"
    )
    if not whole:
        raise RuntimeError("nothing was served")
    return bool(cut)


def is_cut(deployment: Deployment, answer: Answer) -> bool:
    """Return whether a request was passed on and the gateway ended its answer.

    An answer that had used up the client's deadline doesn't count.
    """
    ran = bool(deployment.runs_of(answer.attempt))
    return ran and not answer.complete and answer.seconds < DEADLINE - 0.5


run_case(FOLDER, case)
