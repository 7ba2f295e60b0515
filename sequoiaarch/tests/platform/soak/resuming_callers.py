"""Break off streams and resume them through any gateway."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ....http1.client import ClientConnection, connect
from ....http1.messages import ExchangeError, RequestMessage
from ..deployment import HOST, events_of
from .gateways import Gateway
from .property_checker import (
    NOT_RUN_STATUSES,
    UNLIMITED_KEY,
    Property,
    PropertyChecker,
    SentRequest,
)
from .proxy import LOOPBACK
from .targets import MAX_TOKENS, SoakTarget, event_count

DEADLINE = 3.0
CONNECT_SECONDS = 1.0
# Seconds. A gateway may finish an answer that it has begun after the deadline.
ANSWER_TIMEOUT = DEADLINE + 2.0
OK = 200
# Seconds without disturbance after which a gateway counts as in touch.
CONTACT_SECONDS = 3.0
# Sound targets of a version that are needed to judge whether its streams go on.
TARGETS_NEEDED = 2
MAX_RESUMPTIONS = 4
PAUSE = (0.0, 0.15)
BREAK_FRACTION = 0.8
# Fraction of resumed requests that don't name the first attempt.
UNNAMED_FRACTION = 0.2


@dataclass(kw_only=True)
class HeldStream:
    """What a caller holds of a stream: its events, and the version of each."""

    first: str = ""
    body: bytes = b""
    versions: list[str] = field(default_factory=list)

    @property
    def received(self) -> int:
        """Return the number of whole events."""
        return len(self.versions)


class ResumingCaller:
    """Begin streams, break most of them off, and resume them.

    Reports streams of two versions or with wrong events, and counts what went on while
    everything needed for it was sound.
    """

    def __init__(
        self,
        *,
        name: str,
        gateways: list[Gateway],
        engines: list[SoakTarget],
        checker: PropertyChecker,
        rng: random.Random,
        store_available_since: Callable[[], float],
    ) -> None:
        self._name = name
        self._gateways = gateways
        self._engines = engines
        self._checker = checker
        self._rng = rng
        self._store_available_since = store_available_since
        self._count = 0

    async def run(self, until: float) -> None:
        """Run streams one after the other until the loop time `until`."""
        while asyncio.get_running_loop().time() < until:
            await self._stream()
            await asyncio.sleep(self._rng.uniform(*PAUSE))

    async def _stream(self) -> None:
        """Begin a stream and resume it until it is whole or refused for good."""
        self._count += 1
        stream = HeldStream(first=self._fresh_id())
        headers = {"X-Program-Id": f"{self._name}-p{self._count}"}
        sound = self._sound_gateway(None)
        gateway = sound or self._rng.choice(self._gateways)
        self._checker.idempotent.add(stream.first)
        status = await self._receive(gateway, stream, stream.first, headers)
        if sound is not None and self._in_touch(sound):
            self._checker.counts["streams begun, judged"] += 1
            self._checker.counts["streams begun, judged, went on"] += (
                stream.received > 0
            )
        if status != OK or not stream.received:
            return
        for _ in range(MAX_RESUMPTIONS):
            if stream.received >= event_count(stream.first):
                break
            await asyncio.sleep(self._rng.uniform(*PAUSE))
            await self._resume(stream, headers)

    async def _resume(self, stream: HeldStream, headers: dict[str, str]) -> None:
        version = stream.versions[0]
        sound = self._sound_gateway(version)
        gateway = sound or self._rng.choice(self._gateways)
        resumed = {**headers, "Last-Event-Id": str(stream.received)}
        if self._rng.random() >= UNNAMED_FRACTION:
            resumed["Resumes"] = stream.first
        attempt = self._fresh_id()
        self._checker.idempotent.add(attempt)
        before = stream.received
        await self._receive(gateway, stream, attempt, resumed)
        self._checker.counts["streams resumed"] += 1
        self._checker.counts["streams resumed, went on"] += stream.received > before
        judged = sound is not None and self._in_touch(sound)
        if judged and self._sound_targets(version) >= TARGETS_NEEDED:
            self._checker.counts["streams resumed, judged"] += 1
            self._checker.counts["streams resumed, judged, went on"] += (
                stream.received > before
            )

    def _sound_gateway(self, version: str | None) -> Gateway | None:
        """Return a gateway in touch; None if it or its targets can't be judged."""
        needed = 1 if version is None else TARGETS_NEEDED
        if self._sound_targets(version) < needed:
            return None
        in_touch = [gateway for gateway in self._gateways if self._in_touch(gateway)]
        return self._rng.choice(in_touch) if in_touch else None

    def _in_touch(self, gateway: Gateway) -> bool:
        """Return whether a gateway ran undisturbed; its links may have been harmed."""
        now = asyncio.get_running_loop().time()
        undisturbed_since = max(
            gateway.undisturbed_since, self._store_available_since()
        )
        return now > undisturbed_since + CONTACT_SECONDS

    def _sound_targets(self, version: str | None) -> int:
        return sum(
            engine.sound and version in (None, engine.version)
            for engine in self._engines
        )

    def _fresh_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    async def _receive(
        self, gateway: Gateway, stream: HeldStream, attempt: str, extra: dict[str, str]
    ) -> int:
        """Send one attempt, and add the events that it brings; return its status."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(DEADLINE * 1000)),
            "X-Token-Budget": str(20 * MAX_TOKENS),
            "X-Token-Usage": f"10,{MAX_TOKENS}",
            "Api-Key": UNLIMITED_KEY,
            **extra,
        }
        now = asyncio.get_running_loop().time()
        self._checker.sent_requests[attempt] = SentRequest(
            key=UNLIMITED_KEY,
            at=now,
            undisturbed_since=lambda: gateway.undisturbed_since,
        )
        message = RequestMessage(
            method=b"POST",
            target=b"/free/a",
            headers=[(name.encode(), text.encode()) for name, text in headers.items()],
            body=f"[{stream.first}]".encode(),
        )
        try:
            address = (LOOPBACK, gateway.caller_proxy.port)
            connection = await connect(address, timeout=CONNECT_SECONDS)
        except ExchangeError:
            return 0
        try:
            return await self._read(connection, message, stream, attempt)
        finally:
            connection.abort()

    async def _read(
        self,
        connection: ClientConnection,
        message: RequestMessage,
        stream: HeldStream,
        attempt: str,
    ) -> int:
        left = event_count(stream.first) - stream.received
        wanted = left
        if left > 1 and self._rng.random() < BREAK_FRACTION:
            wanted = self._rng.randint(1, left - 1)
        status, body, instance = 0, b"", ""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                await connection.send(message)
                head = await connection.read_head()
                status = head.status
                instance = (head.header(b"x-server-stamp") or b"").decode()
                while (part := await connection.read_body_part()) is not None:
                    body += part
                    if body.count(b"\n\n") >= wanted < left:
                        break
        except (ExchangeError, TimeoutError):
            self._checker.counts["cut"] += 1
        if status in NOT_RUN_STATUSES:
            self._checker.refused_statuses[attempt] = status
        if status == OK:
            self._add_events(stream, body, instance, attempt)
        return status

    def _add_events(
        self, stream: HeldStream, body: bytes, instance: str, attempt: str
    ) -> None:
        """Add whole events, and report wrong ones and those of another version."""
        whole, separator, _ = body.rpartition(b"\n\n")
        events = whole + separator
        expected = b"".join(events_of(stream.first, event_count(stream.first)))
        stream.body += events
        if not expected.startswith(stream.body):
            text = f"{attempt} continues {stream.first} to {stream.body!r}"
            self._checker.report_violation(Property.WHOLE, text)
        version = self._checker.versions.get(instance, "unknown")
        stream.versions += [version] * events.count(b"\n\n")
        if len(set(stream.versions)) > 1:
            text = f"{stream.first} has events of {stream.versions}, last {attempt}"
            self._checker.report_violation(Property.VERSION, text)
