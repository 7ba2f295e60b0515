"""Test what a connection has to send before it gets a thread."""

from __future__ import annotations

import io
import unittest

from ..request_gate import SMALL_BODY_BYTES, missing_bytes
from ..webserver import BodyError, LongBodies

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"


class MissingBytesTests(unittest.TestCase):
    """Look at requests that have arrived in part."""

    def test_head(self) -> None:
        """Guards against a thread for a head that never ends."""
        self.assertEqual(missing_bytes(HEAD), 1)
        self.assertEqual(missing_bytes(HEAD + b"\r\n"), 0)

    def test_body(self) -> None:
        """Guards against a thread for a short body that never ends."""
        head = HEAD + b"content-length: 10\r\n\r\n"
        self.assertEqual(missing_bytes(head + b"abc"), 7)
        self.assertEqual(missing_bytes(head + bytes(10)), 0)

    def test_long_body(self) -> None:
        """Guards against waiting for more than the kernel keeps."""
        head = HEAD + b"Content-Length: 9000000\r\n\r\n"
        self.assertEqual(missing_bytes(head + bytes(SMALL_BODY_BYTES)), 0)

    def test_chunks(self) -> None:
        """Guards against a thread for short chunks that never end."""
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(missing_bytes(head + b"1\r\nx\r\n"), 1)
        self.assertEqual(missing_bytes(head + b"1\r\nx\r\n0\r\n\r\n"), 0)

    def test_expected_continue(self) -> None:
        """Guards against waiting for a body whose sender waits to be asked."""
        head = HEAD + b"Expect: 100-continue\r\nContent-Length: 10\r\n\r\n"
        self.assertEqual(missing_bytes(head), 0)


class LongBodiesTests(unittest.TestCase):
    """Receive bodies while others are received."""

    def setUp(self) -> None:
        """Allow two long bodies, and 100,000 bytes of them."""
        self.bodies = LongBodies(places=2, max_bytes=100_000)

    def read(self, size: int, *, chunked: bool = False) -> bytes:
        """Receive a body."""
        return self.bodies.read(
            io.BytesIO(bytes(size)),
            length=None if chunked else size,
            limit=200_000,
        )

    def test_whole_bodies(self) -> None:
        """Guards against bodies that are cut."""
        for size in (0, 10, SMALL_BODY_BYTES, 100_000, 200_000):
            self.assertEqual(len(self.read(size)), size)
            self.assertEqual(len(self.read(size, chunked=True)), size)
        self.assertEqual(len(self.read(300_000, chunked=True)), 200_001)

    def test_refused(self) -> None:
        """Guards against bodies that hold memory without a common limit."""
        self.assertTrue(self.bodies._take(60_000))
        with self.assertRaises(BodyError) as raised:
            self.read(60_000)
        self.assertTrue(raised.exception.busy)
        self.assertEqual(len(self.read(30_000)), 30_000)
        self.assertEqual(len(self.read(SMALL_BODY_BYTES)), SMALL_BODY_BYTES)
        self.bodies._release(60_000)
        self.assertEqual(len(self.read(60_000)), 60_000)
