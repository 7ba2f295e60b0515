"""Test that a response counts for a request only if it shows that it belongs to it."""

from __future__ import annotations

import asyncio

from ...ingress.daemon import IngressDaemon
from ...standins.target import TargetExchange, chunk, stream_head, whole_answer
from .deployment import (
    ENGINES,
    TOOLS,
    Answer,
    DeploymentTestCase,
    attempt_of,
    events_of,
    stream_answer,
    tool_answer,
)

MIB = 1024 * 1024
OTHER_BODY = b"the answer to another request"
SIGNED = ("X-Server-Stamp", "other")
OTHER = ("X-Attempt-Id", "other")
REFUSED = ("X-Not-Executed", "1")
# Additional responses that a target sends ahead of the one that is due.
ADDITIONAL = {
    "without an attempt": whole_answer(OTHER_BODY, headers=(SIGNED,)),
    "of another attempt": whole_answer(OTHER_BODY, headers=(SIGNED, OTHER)),
    "refusal without an attempt": whole_answer(b"", status=503, headers=(REFUSED,)),
    "refusal of another attempt": whole_answer(
        b"", status=503, headers=(REFUSED, OTHER)
    ),
    "misdirected without an attempt": whole_answer(b"", status=421),
    "failure without an attempt": whole_answer(b"", status=500, headers=(SIGNED,)),
}


class AdditionalResponseTests(DeploymentTestCase):
    """Send requests to targets that send additional responses ahead of the due one."""

    async def asyncSetUp(self) -> None:
        """Start a service, an engine and a gateway."""
        await super().asyncSetUp()
        self.additional = b""
        await self.add_target("i-tool", TOOLS, self.answer_tool)
        await self.add_target("i-other", TOOLS, self.answer_tool)
        await self.add_target("i-engine", ENGINES, self.answer_stream)
        self.daemon = await self.add_daemon("one")

    async def answer_tool(self, exchange: TargetExchange) -> None:
        """Answer after the additional response."""
        exchange.send(self.additional)
        await tool_answer(exchange)

    async def answer_stream(self, exchange: TargetExchange) -> None:
        """Answer with a stream after the additional response."""
        exchange.send(self.additional)
        await stream_answer(exchange)

    def run_count(self) -> int:
        """Return how often the service ran a request."""
        names = ("i-tool", "i-other")
        return sum(len(self.targets[name].exchanges) for name in names)

    async def test_answer_to_another_request(self) -> None:
        """A caller gets the answer to another request."""
        for name, self.additional in ADDITIONAL.items():
            with self.subTest(name):
                attempt = self.fresh_id()
                answer = await self.call(self.daemon, "/once/a", attempt=attempt)
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body, f"done {attempt}".encode())

    async def test_refusal_of_another_request(self) -> None:
        """A request that ran counts as not run and is sent again."""
        self.additional = ADDITIONAL["refusal without an attempt"]
        for _ in range(5):
            await self.call(self.daemon, "/once/a")
        self.assertEqual(self.run_count(), 5)

    async def test_history_of_another_conversation(self) -> None:
        """A stream of another conversation becomes part of a program's history."""
        other = stream_head((SIGNED,)) + b"".join(map(chunk, events_of("other")))
        self.additional = other + chunk(b"")
        first = await self.turn(self.daemon, b"in", attempt="0" * 16)
        self.assertEqual(first.body, b"".join(events_of("0" * 16)))
        await self.turn(self.daemon, b"next", previous="0" * 16)
        prompt = self.targets["i-engine"].exchanges[-1].request.body
        self.assertNotIn(b"other", prompt)
        self.assertTrue(prompt.endswith(b"next"))

    async def test_endless_additional_responses(self) -> None:
        """Additional responses are read for ever, or held in memory."""
        for self.additional in (
            whole_answer(OTHER_BODY) * 100,
            whole_answer(bytes(17 * MIB)),
        ):
            answer = await self.call(self.daemon, "/once/a")
            self.assertEqual(answer.status, 502)


class UnprovedResponseTests(DeploymentTestCase):
    """Send a request to a target that only sends one response, without proof."""

    async def answer_with(self, response: bytes) -> Answer:
        """Return what a caller gets if a target sends a response."""
        attempt = self.fresh_id()
        ready = response.replace(b"ATTEMPT", attempt.encode())

        async def behave(exchange: TargetExchange) -> None:
            self.assertEqual(attempt_of(exchange), attempt)
            exchange.send(ready)
            exchange.close()

        await self.add_target(f"i-{attempt}", TOOLS, behave)
        daemon: IngressDaemon = await self.add_daemon(f"gateway-{attempt}")
        answer = await self.call(daemon, "/once/a", attempt=attempt)
        await self.store.put("keyed.servers", f"i-{attempt}", b"")
        await asyncio.sleep(0)
        return answer

    async def test_no_proof(self) -> None:
        """A response without an attempt or a signature is passed on as a success."""
        own = ("X-Attempt-Id", "ATTEMPT")
        for response in (
            whole_answer(OTHER_BODY, headers=(SIGNED,)),
            whole_answer(OTHER_BODY, headers=(own,)),
            whole_answer(b"", status=503, headers=(REFUSED,)),
        ):
            with self.subTest(response=response):
                answer = await self.answer_with(response)
                self.assertEqual(answer.status, 502)
                self.assertNotIn(OTHER_BODY, answer.body)

    async def test_refusal_with_proof(self) -> None:
        """A refusal of the request itself is not believed."""
        own = ("X-Attempt-Id", "ATTEMPT")
        answer = await self.answer_with(
            whole_answer(b"", status=503, headers=(REFUSED, own))
        )
        self.assertEqual(answer.status, 429)
