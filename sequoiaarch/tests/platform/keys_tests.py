"""Test keys and workspaces on the platform's path."""

from __future__ import annotations

import asyncio
import io
from typing import Any

import logbook

from ...ingress.daemon import IngressDaemon
from ...observe.events import EventLog
from ...platform.documents import decode_routes
from ...standins.target import TargetExchange
from .deployment import (
    ENGINES,
    ROUTES,
    TOOLS,
    Answer,
    DeploymentTestCase,
    config,
    route,
    stream_answer,
    tenant,
    tool_answer,
)

KEY_ONE = "key-of-one-7f3a"
KEY_TWO = "key-of-two-91bd"
WORKSPACES = [tenant("one", KEY_ONE, priority=3), tenant("two", KEY_TWO)]
PUBLIC = route("/public/", "safe", TOOLS, public=True)


class KeysTests(DeploymentTestCase):
    """Call routes of a configuration with workspaces."""

    async def asyncSetUp(self) -> None:
        """Start a gateway with two targets that note what they get."""
        await super().asyncSetUp()
        self.seen: list[TargetExchange] = []
        await self.configure(2, WORKSPACES)
        await self.add_target("engine", ENGINES, self.note_stream)
        await self.add_target("tool", TOOLS, self.note_tool)
        self.lines = io.BytesIO()
        self.events = EventLog(write=self.lines.write)
        self.gateway = await self.add_daemon("a", events=self.events)

    async def configure(self, version: int, workspaces: list[dict[str, Any]]) -> None:
        """Write a configuration."""
        document = config(version, [*ROUTES, PUBLIC], tenants=workspaces)
        await self.store.put("keyed.op", "config", document)

    async def note_stream(self, exchange: TargetExchange) -> None:
        """Answer with a stream."""
        self.seen.append(exchange)
        await stream_answer(exchange)

    async def note_tool(self, exchange: TargetExchange) -> None:
        """Answer with a body."""
        self.seen.append(exchange)
        await tool_answer(exchange)

    def workspaces_seen(self) -> list[bytes]:
        """Return all workspaces that targets were told, in order."""
        return [
            value
            for one in self.seen
            for name, value in one.request.headers
            if name.lower() == b"x-tenant"
        ]

    async def test_workspace_is_told_whatever_the_caller_says(self) -> None:
        """Tell the target the workspace of the key, and nothing in place of it."""
        for path in ("/safe/a", "/public/a"):
            answer = await self.call(
                self.gateway, path, X_Tenant="two", Api_Key=KEY_ONE
            )
            self.assertEqual(answer.status, 200)
        answer = await self.call(self.gateway, "/public/a", X_Tenant="two")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.workspaces_seen(), [b"one", b"one"])

    async def test_key_that_nobody_holds(self) -> None:
        """Refuse callers without a good key before anything is sent or granted."""
        before = self.store.appends
        for path in ("/kept/a", "/free/a", "/safe/a", "/once/a"):
            no_key = await self.call(self.gateway, path)
            unknown = await self.keyed(path, "unknown")
            self.assertEqual((no_key.status, unknown.status), (401, 401))
        self.assertEqual(self.seen, [])
        self.assertEqual(self.store.appends, before)

    async def test_key_is_taken_away_and_another_given(self) -> None:
        """Refuse a key from the version on that lacks it, on an open connection too."""
        self.assertEqual((await self.keyed("/safe/a", KEY_ONE)).status, 200)
        await self.configure(3, [tenant("one", "new-key"), tenant("two", KEY_TWO)])
        await self.taken_over(3)
        self.assertEqual((await self.keyed("/safe/a", KEY_ONE)).status, 401)
        self.assertEqual((await self.keyed("/safe/a", "new-key")).status, 200)

    async def test_turn_of_another_workspace_is_not_found(self) -> None:
        """Show a kept turn, its program and its budget to its own workspace only."""
        first = await self.kept("one", KEY_ONE, attempt="t1")
        self.assertEqual(first.status, 200)
        stranger = await self.kept("stolen", KEY_TWO, previous="t1")
        self.assertEqual(stranger.status, 404)
        same_program = await self.kept("x", KEY_TWO, attempt="t1", budget=100)
        self.assertEqual(same_program.status, 200)
        own = await self.kept("two", KEY_ONE, previous="t1")
        self.assertEqual(own.status, 200)
        prompts = [one.request.body for one in self.seen]
        self.assertEqual(prompts[:2], [b"one", b"x"])
        self.assertTrue(prompts[2].startswith(b"one"))

    async def test_isolation_outlives_the_process(self) -> None:
        """Keep workspaces apart in what a later process reads from the store."""
        await self.kept("one", KEY_ONE, attempt="t1")
        await self.gateway.close()
        later = await self.add_daemon("b")
        for key, status in ((KEY_TWO, 404), (KEY_ONE, 200)):
            answer = await self.kept("more", key, previous="t1", daemon=later)
            self.assertEqual(answer.status, status)

    async def test_store_is_away_for_longer_than_keys_count(self) -> None:
        """Refuse keys at once that may have been taken away, until the store is back.

        The refusal promises that the request has not run and says when to come back.
        """
        strict = await self.add_daemon("strict", key_age_limit=1.0)
        self.clients["strict"].faults.down = True
        refused = await self.until(strict, 503)
        self.assertIn(b'"not_run":"true"', refused.body)
        self.assertGreater(float(refused.headers["retry-after"]), 0)
        sent = len(self.seen)
        self.assertEqual((await self.keyed("/safe/a", KEY_ONE, strict)).status, 503)
        self.assertEqual(len(self.seen), sent)
        public = await self.call(strict, "/public/a")
        self.assertEqual(public.status, 200)
        self.clients["strict"].faults.down = False
        await self.until(strict, 200)

    async def test_records_from_before_workspaces(self) -> None:
        """Read turns that were kept while no workspaces were configured."""
        await self.store.put("keyed.op", "config", config(3, ROUTES))
        await self.taken_over(3)
        self.assertEqual(
            (await self.turn(self.gateway, b"a", attempt="t1")).status, 200
        )
        again = await self.turn(self.gateway, b"b", previous="t1")
        self.assertEqual(again.status, 200)

    async def test_configuration_that_cannot_be_understood(self) -> None:
        """Change nothing, and show no key in the log, where workspaces clash."""
        clash = [tenant("one", KEY_ONE), tenant("two", KEY_ONE)]
        handler = logbook.TestHandler(level=logbook.INFO)
        with handler.applicationbound():
            await self.configure(3, clash)
            await self.configure(4, [*WORKSPACES, tenant("three", "key-three")])
            await self.taken_over(4)
        text = "\n".join(handler.formatted_records)
        self.assertIn("configuration can't be read", text)
        self.assertNotIn(KEY_ONE, text)
        self.assertEqual((await self.keyed("/safe/a", KEY_TWO)).status, 200)

    async def test_key_never_leaves_the_gateway(self) -> None:
        """Find the key in no request of a target, record, log line or metric."""
        for path, key in (
            ("/safe/a", KEY_ONE),
            ("/none/a", KEY_ONE),
            ("/safe/a", "wrong-" + KEY_ONE),
        ):
            await self.keyed(path, key)
        await self.kept("one", KEY_ONE, attempt="t1")
        self.events.flush()
        sent = b"".join(
            name + value + one.request.body
            for one in self.seen
            for name, value in one.request.headers
        )
        records = b"".join(
            record.key.encode() + record.value
            for record in self.store.records(but="keyed.op")
        )
        metrics = self.gateway.metrics_text()
        logged = self.lines.getvalue()
        self.assertIn(b'"workspace":"one"', logged)
        for text in (sent, records, metrics, logged):
            self.assertNotIn(KEY_ONE.encode(), text)

    async def keyed(
        self, path: str, key: str, daemon: IngressDaemon | None = None
    ) -> Any:
        """Call a route with a key."""
        return await self.call(daemon or self.gateway, path, Api_Key=key)

    async def until(self, daemon: IngressDaemon, status: int) -> Answer:
        """Call with a key again and again until a status is answered."""
        async with asyncio.timeout(10):
            while True:
                answer: Answer = await self.keyed("/safe/a", KEY_ONE, daemon)
                if answer.status == status:
                    return answer
                await asyncio.sleep(0.05)

    async def kept(
        self, body: str, key: str, *, daemon: IngressDaemon | None = None, **more: Any
    ) -> Any:
        """Run a kept turn with a key."""
        gateway = daemon or self.gateway
        return await self.turn(gateway, body.encode(), Api_Key=key, **more)

    async def taken_over(self, version: int) -> None:
        """Wait until the gateway works by a version."""
        async with asyncio.timeout(5):
            while True:
                routes = self.gateway.dispatcher.routes
                if routes is not None and routes.version == version:
                    return
                await asyncio.sleep(0.01)


class TenantDocumentTests(DeploymentTestCase):
    """Decode workspaces as the operator writes them."""

    async def test_unusable_limits(self) -> None:
        """Refuse limits below zero, and take 0 for none."""
        for bad in ({"ratePerS": -1}, {"burst": -2}, {"ratePerS": "many"}):
            with self.subTest(bad=bad), self.assertRaises(ValueError):
                decode_routes(config(1, ROUTES, tenants=[tenant("a", "k", **bad)]))
        document = config(1, ROUTES, tenants=[tenant("a", "k", ratePerS=0, burst=5)])
        directory = decode_routes(document).workspaces
        assert directory is not None
        found = directory.holder("k")
        assert found is not None
        self.assertIsNone(found.limit)
