"""Test the web server's thread pool."""

from __future__ import annotations

import threading
import unittest
from collections.abc import Callable, Iterable
from typing import Any

from ..webserver import GROW_CHECK_INTERVAL, MIN_IDLE_THREADS, WebServer
from .base import in_thread

TIMEOUT = 10.0  # seconds


def empty_response(
    environ: dict[str, Any], start_response: Callable[..., Any]
) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


class StopTests(unittest.TestCase):
    """Stop a server while its thread pool grows."""

    def test_stop_while_threads_are_added(self) -> None:
        """Wait for the threads that are being added before the server is stopped.

        Otherwise a new thread would consume the shutdown request of another one, and
        the stop would never complete.
        """
        server = WebServer(app=empty_response, address="127.0.0.1", port=0)
        pool = server._server.requests
        growth_started, release = threading.Event(), threading.Event()
        grow, stop = pool.grow, server._server.stop
        stopped_before_growth: list[bool] = []

        def slow_grow(amount: int) -> None:
            growth_started.set()
            release.wait(TIMEOUT)
            grow(amount)

        def recorded_stop() -> None:
            stopped_before_growth.append(not release.is_set())
            stop()

        pool.grow = slow_grow
        server._server.stop = recorded_stop  # type: ignore[method-assign]
        server._min_idle = MIN_IDLE_THREADS * 2
        server.start()
        self.assertTrue(growth_started.wait(TIMEOUT))
        stopping = in_thread(server.stop)
        pause = threading.Event()
        pause.wait(10 * GROW_CHECK_INTERVAL)
        release.set()
        stopping.result(TIMEOUT)
        self.assertEqual(stopped_before_growth, [False])
