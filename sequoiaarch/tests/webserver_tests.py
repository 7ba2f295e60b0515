"""Test that a web server stops whatever its threads are doing."""

from __future__ import annotations

import threading
import unittest
from collections.abc import Callable, Iterable
from typing import Any

from ..webserver import SPARE_THREADS, WATCH_INTERVAL, WebServer
from .base import in_thread

PATIENCE = 10.0


def _hold(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


class StopTests(unittest.TestCase):
    """Stop a server at an awkward moment."""

    def test_stop_while_threads_are_added(self) -> None:
        """Stop only after the threads that are being added are all there.

        A busy server adds threads while it is told to stop. Each thread ends
        by one order to end; a new thread takes the order of an old one, which
        then waits for ever, and the stop waits for it.
        """
        server = WebServer(app=_hold, address="127.0.0.1", port=0)
        pool = server._server.requests
        growing, release = threading.Event(), threading.Event()
        grow, stop = pool.grow, server._server.stop
        early: list[bool] = []

        def slow_grow(amount: int) -> None:
            growing.set()
            release.wait(PATIENCE)
            grow(amount)

        def watched_stop() -> None:
            early.append(not release.is_set())
            stop()

        pool.grow = slow_grow
        server._server.stop = watched_stop  # type: ignore[method-assign]
        server._spare = SPARE_THREADS * 2
        server.start()
        self.assertTrue(growing.wait(PATIENCE))
        stopping = in_thread(server.stop)
        stopping_soon = threading.Event()
        stopping_soon.wait(10 * WATCH_INTERVAL)
        release.set()
        stopping.result(PATIENCE)
        self.assertEqual(early, [False])
