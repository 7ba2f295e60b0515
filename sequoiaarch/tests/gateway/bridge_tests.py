"""Test that each call through the bridge gets a final event."""

from __future__ import annotations

import asyncio
import threading
import unittest
from collections.abc import Callable
from typing import cast

from ...errors import ErrorKind, Failure
from ...gateway.bridge import CallEvent, LoopBridge
from ...gateway.router import Router
from ...ids import ProgramId, Workspace
from ...records.types import ProgramSpec
from ...wire.messages import CallKind, CallRequest
from ..base import LoopThread, in_thread

# Deadline of the call in seconds; the tests fail before it passes.
DEADLINE = 30.0


class _FakeRouter:
    """Router that accepts a call and sends no event, or raises an error."""

    def __init__(self, *, failing: bool) -> None:
        self._failing = failing
        self.call_received = threading.Event()

    async def run(
        self, call: CallRequest, put: Callable[[CallEvent], None], *, may_exist: bool
    ) -> None:
        """Record that the call was received; raise an error if `failing`."""
        self.call_received.set()
        if self._failing:
            raise OSError("the context was closed")


class BridgeTests(unittest.TestCase):
    """Test the bridge with an event loop in another thread."""

    def setUp(self) -> None:
        """Start the event loop."""
        self.thread = LoopThread(name="bridge")
        self.addCleanup(self.thread.end)

    def bridge(self, router: _FakeRouter) -> LoopBridge:
        """Return a bridge to the given router."""

        async def build() -> LoopBridge:
            loop = asyncio.get_running_loop()
            return LoopBridge(loop=loop, router=cast(Router, router))

        return self.thread.wait(build())

    def first_event(self, bridge: LoopBridge) -> CallEvent:
        """Run a call and return its first event."""
        call = CallRequest(
            program=ProgramId("p"),
            spec=ProgramSpec(workspace=Workspace("w"), name="n", budget=1),
            kind=CallKind.MODEL,
            deadline=DEADLINE,
        )
        return next(bridge.stream_call(call, may_exist=False))

    def test_close_while_a_call_waits(self) -> None:
        """A pending call fails when the bridge is closed.

        Otherwise its thread would wait for ever and block the shutdown.
        """
        router = _FakeRouter(failing=False)
        bridge = self.bridge(router)
        pending = in_thread(lambda: self.first_event(bridge))
        self.assertTrue(router.call_received.wait(DEADLINE))
        bridge.close()
        event = pending.result(DEADLINE / 2)
        self.assertIsInstance(event, Failure)

    def test_call_after_close(self) -> None:
        """A call after the bridge was closed is refused as stopping."""
        bridge = self.bridge(_FakeRouter(failing=False))
        bridge.close()
        event = in_thread(lambda: self.first_event(bridge)).result(DEADLINE / 2)
        assert isinstance(event, Failure)
        self.assertIs(event.kind, ErrorKind.STOPPING)

    def test_router_fails(self) -> None:
        """A call fails with an internal error if the router raises one."""
        bridge = self.bridge(_FakeRouter(failing=True))
        event = in_thread(lambda: self.first_event(bridge)).result(DEADLINE / 2)
        assert isinstance(event, Failure)
        self.assertIs(event.kind, ErrorKind.INTERNAL)
