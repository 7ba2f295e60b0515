"""Test API keys and workspaces on the whole request path."""

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
PUBLIC_ROUTE = route("/public/", "safe", TOOLS, public=True)


class ApiKeyTests(DeploymentTestCase):
    """Call routes with API keys of two workspaces."""

    async def asyncSetUp(self) -> None:
        """Start a gateway and two targets that record their requests."""
        await super().asyncSetUp()
        self.exchanges: list[TargetExchange] = []
        await self.configure(2, WORKSPACES)
        await self.add_target("engine", ENGINES, self.record_stream)
        await self.add_target("tool", TOOLS, self.record_tool)
        self.lines = io.BytesIO()
        self.events = EventLog(write=self.lines.write)
        self.gateway = await self.add_daemon("a", events=self.events)

    async def configure(self, version: int, workspaces: list[dict[str, Any]]) -> None:
        """Write a configuration."""
        document = config(version, [*ROUTES, PUBLIC_ROUTE], tenants=workspaces)
        await self.store.put("keyed.op", "config", document)

    async def record_stream(self, exchange: TargetExchange) -> None:
        """Record a request and answer with a stream."""
        self.exchanges.append(exchange)
        await stream_answer(exchange)

    async def record_tool(self, exchange: TargetExchange) -> None:
        """Record a request and answer with a body."""
        self.exchanges.append(exchange)
        await tool_answer(exchange)

    def workspaces_received(self) -> list[bytes]:
        """Return the workspace headers that targets received, in order."""
        return [
            value
            for exchange in self.exchanges
            for name, value in exchange.request.headers
            if name.lower() == b"x-tenant"
        ]

    async def test_target_gets_workspace_of_key(self) -> None:
        """Send the workspace of the key to the target, never the caller's header."""
        for path in ("/safe/a", "/public/a"):
            answer = await self.call(
                self.gateway, path, X_Tenant="two", Api_Key=KEY_ONE
            )
            self.assertEqual(answer.status, 200)
        answer = await self.call(self.gateway, "/public/a", X_Tenant="two")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.workspaces_received(), [b"one", b"one"])

    async def test_missing_and_unknown_keys(self) -> None:
        """Refuse callers without a valid key before any other work."""
        appends = self.store.appends
        for path in ("/kept/a", "/free/a", "/safe/a", "/once/a"):
            without_key = await self.call(self.gateway, path)
            unknown = await self.call_with_key(path, "unknown")
            self.assertEqual((without_key.status, unknown.status), (401, 401))
        self.assertEqual(self.exchanges, [])
        self.assertEqual(self.store.appends, appends)

    async def test_key_rotation(self) -> None:
        """Refuse a key as soon as a configuration without it is applied."""
        self.assertEqual((await self.call_with_key("/safe/a", KEY_ONE)).status, 200)
        await self.configure(3, [tenant("one", "new-key"), tenant("two", KEY_TWO)])
        await self.wait_for_version(3)
        self.assertEqual((await self.call_with_key("/safe/a", KEY_ONE)).status, 401)
        self.assertEqual((await self.call_with_key("/safe/a", "new-key")).status, 200)

    async def test_turn_of_another_workspace_is_not_found(self) -> None:
        """Separate the turns, programs and budgets of two workspaces."""
        first = await self.retained_turn("one", KEY_ONE, attempt="t1")
        self.assertEqual(first.status, 200)
        other_workspace = await self.retained_turn("stolen", KEY_TWO, previous="t1")
        self.assertEqual(other_workspace.status, 404)
        same_program = await self.retained_turn("x", KEY_TWO, attempt="t1", budget=100)
        self.assertEqual(same_program.status, 200)
        same_workspace = await self.retained_turn("two", KEY_ONE, previous="t1")
        self.assertEqual(same_workspace.status, 200)
        prompts = [exchange.request.body for exchange in self.exchanges]
        self.assertEqual(prompts[:2], [b"one", b"x"])
        self.assertTrue(prompts[2].startswith(b"one"))

    async def test_isolation_after_restart(self) -> None:
        """Separate workspaces in a new process that reads the store."""
        await self.retained_turn("one", KEY_ONE, attempt="t1")
        await self.gateway.close()
        restarted = await self.add_daemon("b")
        for key, status in ((KEY_TWO, 404), (KEY_ONE, 200)):
            answer = await self.retained_turn(
                "more", key, previous="t1", daemon=restarted
            )
            self.assertEqual(answer.status, status)

    async def test_keys_expire_during_outage(self) -> None:
        """Refuse keys that may be revoked until the store is available again.

        The refusal states that the request has not run, and when to retry.
        """
        gateway = await self.add_daemon("strict", key_age_limit=1.0)
        self.clients["strict"].faults.down = True
        refused = await self.call_until(gateway, 503)
        self.assertIn(b'"not_run":"true"', refused.body)
        self.assertGreater(float(refused.headers["retry-after"]), 0)
        sent = len(self.exchanges)
        self.assertEqual(
            (await self.call_with_key("/safe/a", KEY_ONE, gateway)).status, 503
        )
        self.assertEqual(len(self.exchanges), sent)
        public = await self.call(gateway, "/public/a")
        self.assertEqual(public.status, 200)
        self.clients["strict"].faults.down = False
        await self.call_until(gateway, 200)

    async def test_turns_without_workspaces(self) -> None:
        """Retain and continue turns while no workspaces are configured."""
        await self.store.put("keyed.op", "config", config(3, ROUTES))
        await self.wait_for_version(3)
        self.assertEqual(
            (await self.turn(self.gateway, b"a", attempt="t1")).status, 200
        )
        again = await self.turn(self.gateway, b"b", previous="t1")
        self.assertEqual(again.status, 200)

    async def test_invalid_configuration(self) -> None:
        """Ignore a configuration with duplicate keys, and log none of them."""
        duplicate_keys = [tenant("one", KEY_ONE), tenant("two", KEY_ONE)]
        handler = logbook.TestHandler(level=logbook.INFO)
        with handler.applicationbound():
            await self.configure(3, duplicate_keys)
            await self.configure(4, [*WORKSPACES, tenant("three", "key-three")])
            await self.wait_for_version(4)
        text = "\n".join(handler.formatted_records)
        self.assertIn("configuration can't be read", text)
        self.assertNotIn(KEY_ONE, text)
        self.assertEqual((await self.call_with_key("/safe/a", KEY_TWO)).status, 200)

    async def test_key_never_leaves_the_gateway(self) -> None:
        """Put keys into no request to a target, record, log line or metric."""
        for path, key in (
            ("/safe/a", KEY_ONE),
            ("/none/a", KEY_ONE),
            ("/safe/a", "wrong-" + KEY_ONE),
        ):
            await self.call_with_key(path, key)
        await self.retained_turn("one", KEY_ONE, attempt="t1")
        self.events.flush()
        sent = b"".join(
            name + value + exchange.request.body
            for exchange in self.exchanges
            for name, value in exchange.request.headers
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

    async def call_with_key(
        self, path: str, key: str, daemon: IngressDaemon | None = None
    ) -> Any:
        """Call a route with a key."""
        return await self.call(daemon or self.gateway, path, Api_Key=key)

    async def call_until(self, daemon: IngressDaemon, status: int) -> Answer:
        """Call with a key until an answer has the status."""
        async with asyncio.timeout(10):
            while True:
                answer: Answer = await self.call_with_key("/safe/a", KEY_ONE, daemon)
                if answer.status == status:
                    return answer
                await asyncio.sleep(0.05)

    async def retained_turn(
        self, body: str, key: str, *, daemon: IngressDaemon | None = None, **extra: Any
    ) -> Any:
        """Run a retained turn with a key."""
        gateway = daemon or self.gateway
        return await self.turn(gateway, body.encode(), Api_Key=key, **extra)

    async def wait_for_version(self, version: int) -> None:
        """Wait until the gateway has applied a configuration version."""
        async with asyncio.timeout(5):
            while True:
                routes = self.gateway.dispatcher.routes
                if routes is not None and routes.version == version:
                    return
                await asyncio.sleep(0.01)


class WorkspaceEntryTests(DeploymentTestCase):
    """Decode workspaces of the configuration."""

    async def test_unusable_limits(self) -> None:
        """Reject negative limits, and read 0 as unlimited."""
        for limits in ({"ratePerS": -1}, {"burst": -2}, {"ratePerS": "many"}):
            with self.subTest(limits=limits), self.assertRaises(ValueError):
                decode_routes(config(1, ROUTES, tenants=[tenant("a", "k", **limits)]))
        document = config(1, ROUTES, tenants=[tenant("a", "k", ratePerS=0, burst=5)])
        directory = decode_routes(document).workspaces
        assert directory is not None
        workspace_entry = directory.holder("k")
        assert workspace_entry is not None
        self.assertIsNone(workspace_entry.limit)
