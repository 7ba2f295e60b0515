"""Test that no thread waits for an answer that nobody will send."""

from __future__ import annotations

import asyncio
import threading
import unittest
from collections.abc import Callable
from typing import cast

from ...errors import ErrorKind, Failure
from ...gateway.bridge import Bridge, Event
from ...gateway.router import Router
from ...ids import ProgramId, Workspace
from ...records.types import ProgramSpec
from ...wire.messages import CallKind, CallRequest
from ..base import LoopThread, in_thread

# The call's own deadline; a test that waits for it has failed.
DEADLINE = 30.0


class _SilentRouter:
    """Take a call and never end it, or fail as with a closed context."""

    def __init__(self, *, broken: bool) -> None:
        self._broken = broken
        self.taken = threading.Event()

    async def run(
        self, call: CallRequest, put: Callable[[Event], None], *, known: bool
    ) -> None:
        """Take the call."""
        self.taken.set()
        if self._broken:
            raise OSError("the context was closed")


class BridgeTests(unittest.TestCase):
    """Run a bridge on a loop of its own."""

    def setUp(self) -> None:
        """Start the loop."""
        self.thread = LoopThread(name="bridge")
        self.addCleanup(self.thread.end)

    def bridge(self, router: _SilentRouter) -> Bridge:
        """Return a bridge to a router."""

        async def build() -> Bridge:
            loop = asyncio.get_running_loop()
            return Bridge(loop=loop, router=cast(Router, router))

        return self.thread.wait(build())

    def first_event(self, bridge: Bridge) -> Event:
        """Return what a caller's thread gets first."""
        call = CallRequest(
            program=ProgramId("p"),
            spec=ProgramSpec(workspace=Workspace("w"), name="n", budget=1),
            kind=CallKind.MODEL,
            deadline=DEADLINE,
        )
        return next(bridge.events(call, known=False))

    def test_close_while_a_call_waits(self) -> None:
        """End a caller's wait when its gateway closes.

        A caller waits for an answer. The gateway closes, and with it the
        links over which the answer would come. The caller's thread must be
        told, or it waits for ever and the stop waits for the thread.
        """
        router = _SilentRouter(broken=False)
        bridge = self.bridge(router)
        waiting = in_thread(lambda: self.first_event(bridge))
        self.assertTrue(router.taken.wait(DEADLINE))
        bridge.close()
        event = waiting.result(DEADLINE / 2)
        self.assertIsInstance(event, Failure)

    def test_call_after_close(self) -> None:
        """Refuse a call truthfully once the gateway has closed."""
        bridge = self.bridge(_SilentRouter(broken=False))
        bridge.close()
        event = in_thread(lambda: self.first_event(bridge)).result(DEADLINE / 2)
        assert isinstance(event, Failure)
        self.assertIs(event.kind, ErrorKind.STOPPING)

    def test_router_fails(self) -> None:
        """Tell the caller when the router ends with an error.

        A call is located while the context of the inner links closes under
        it. The error leaves the router without any event.
        """
        bridge = self.bridge(_SilentRouter(broken=True))
        event = in_thread(lambda: self.first_event(bridge)).result(DEADLINE / 2)
        assert isinstance(event, Failure)
        self.assertIs(event.kind, ErrorKind.INTERNAL)
