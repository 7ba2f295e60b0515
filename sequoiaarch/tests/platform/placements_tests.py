"""Test the placement of programs from callers to targets."""

from __future__ import annotations

import asyncio
import json
import re

from ...ids import ProgramId
from .placing_gateway import PlacingGatewayTestCase

RETRY_HEADERS = ("retry-after", "retry-after-ms", "x-retry-after-ms")


class PlacementsTests(PlacingGatewayTestCase):
    """Send requests to one gateway, which owns its engines, and two targets."""

    async def test_program_stays_on_its_engine(self) -> None:
        """Log where a program was placed, and run all its turns there."""
        daemon = await self.start()
        answer = await self.turn(daemon, b"a", attempt="t1")
        self.assertEqual(answer.status, 200)
        first = (await self.logged("t1"))["steps"]
        placed = re.fullmatch(r"placed on (\S+) by one", first[0])
        assert placed is not None, first
        await self.turn(daemon, b"b", attempt="t2", previous="t1")
        second = (await self.logged("t2"))["steps"]
        self.assertEqual(second[0], f"stays on {placed[1]}")
        for steps in (first, second):
            self.assertIn(f"{placed[1]} chosen: assigned", steps)

    async def test_refused_program(self) -> None:
        """Answer 429 with a time and a reason before anything is reserved."""
        daemon = await self.start()
        await self.fill(daemon)
        sent = sum(len(target.exchanges) for target in self.targets.values())
        answer = await self.turn(daemon, b"a", attempt="t1", program="new")
        self.assertEqual(answer.status, 429)
        self.assertTrue(
            any(name in answer.headers for name in RETRY_HEADERS), answer.headers
        )
        self.assertEqual(json.loads(answer.body)["not_run"], "true")
        line = await self.logged("t1")
        self.assertEqual(line["outcome"], "overloaded")
        self.assertRegex(
            line["reason"], r"^one has no room for the program: \d+ programs on 2"
        )
        # Operators search the owner's log by the program.
        decisions = [one for one in self.logged_lines() if "decision" in one]
        self.assertEqual([one["event"] for one in decisions], ["placement"])
        self.assertRegex(
            decisions[0]["message"],
            r"^program [^ ]*new[^ ]* of workspace .*; retry in \d",
        )
        self.assertEqual(decisions[0]["owner"], "one")
        self.assertGreater(decisions[0]["retry_after"], 0.0)
        self.assertFalse(await daemon.ledger.may_know_program(ProgramId("new")))
        after = sum(len(target.exchanges) for target in self.targets.values())
        self.assertEqual(after, sent)

    async def test_turn_in_progress_on_full_engines(self) -> None:
        """Run the next turn of a program in progress although engines are full."""
        daemon = await self.start()
        await self.turn(daemon, b"a", attempt="t1")
        await self.fill(daemon)
        answer = await self.turn(daemon, b"b", attempt="t2", previous="t1")
        self.assertEqual(answer.status, 200)

    async def test_resumed_stream_on_full_engines(self) -> None:
        """Run a stream that goes on although new programs are refused."""
        daemon = await self.start()
        await self.turn(daemon, b"a", attempt="t1", program="p1", path="/free/a")
        await self.fill(daemon)
        for number, program in enumerate(("p1", "p2")):
            answer = await self.turn(
                daemon,
                b"a",
                attempt=f"r{number}",
                program=program,
                path="/free/a",
                Resumes="t1",
                Last_Event_Id="1",
            )
            self.assertEqual(answer.status, 200)
        refused = await self.turn(daemon, b"a", program="p3", path="/free/a")
        self.assertEqual(refused.status, 429)

    async def test_estimate_without_an_owner(self) -> None:
        """Refuse new programs by the gateway's own estimate if no owner is known."""
        daemon = await self.start()
        self.placements(daemon).owner_of = lambda centre: None
        answer = await self.turn(daemon, b"a", attempt="t1")
        self.assertEqual(answer.status, 200)
        steps = (await self.logged("t1"))["steps"]
        self.assertEqual(steps[0], "not placed, no owner of engines answered")
        daemon.dispatcher.start_retry_after = (  # type: ignore[method-assign]
            lambda route, info: 0.7
        )
        refused = await self.turn(daemon, b"a", attempt="t3", program="new")
        self.assertEqual(refused.status, 429)
        line = await self.logged("t3")
        self.assertEqual(line["reason"], "all engines are full")
        self.assertFalse(await daemon.ledger.may_know_program(ProgramId("new")))
        answer = await self.turn(daemon, b"b", attempt="t2", previous="t1")
        self.assertEqual(answer.status, 200)

    async def test_without_the_setting(self) -> None:
        """Place nothing and show nothing about it without the setting."""
        daemon = await self.start(place_programs=False)
        await self.fill(daemon)
        answer = await self.turn(daemon, b"a", attempt="t1")
        self.assertEqual(answer.status, 200)
        steps = " ".join((await self.logged("t1"))["steps"])
        self.assertNotRegex(steps, "placed|stays|assigned")
        text = daemon.metrics_text().decode()
        self.assertNotIn("sequoiaarch_engine_programs{", text)
        self.assertNotIn("sequoiaarch_engine_owner{", text)

    async def test_metrics(self) -> None:
        """Show the owned engines, their owner and the placements by result."""
        daemon = await self.start()
        await self.turn(daemon, b"a")
        text = daemon.metrics_text().decode()
        for name in ("i-1", "i-2"):
            self.assertRegex(text, rf'engine_free_placements{{engine="{name}"}} \d')
        self.assertIn('engine_owner{data_centre="here",owner="one"} 1', text)
        self.assertIn('placements_total{result="granted"} 1', text)
        self.assertIn('state{name="programs_to_retry"} 0', text)
        await self.store.put("keyed.servers", "i-2", b"")
        async with asyncio.timeout(10.0):
            while len(daemon.targets) > 1:
                await asyncio.sleep(0.02)
        text = daemon.metrics_text().decode()
        self.assertNotIn('engine="i-2"', text)
        self.assertIn('engine="i-1"', text)
