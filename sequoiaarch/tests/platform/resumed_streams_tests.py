"""Test that streams go on at the software version that began them."""

from __future__ import annotations

import asyncio

from ...ids import InstanceId
from ...ingress.daemon import TARGETS_BATCH_DELAY
from ...routing.targets import DRAIN_SECONDS
from ...standins.target import TargetExchange
from .deployment import (
    ENGINES,
    EVENT_TOKENS,
    ROUTES,
    config,
    not_run_answer,
    route,
)
from .versioned_deployment import (
    GatewayProcess,
    Stream,
    VersionedDeploymentTestCase,
    versioned_answer,
)

STREAMS = 24


class RequestLogTests(VersionedDeploymentTestCase):
    """Read what the request log tells of a resumed stream."""

    async def test_resumed_attempt_in_the_log(self) -> None:
        """Log which attempt was resumed, behind which event, and the version."""
        await self.add_engine("i-1", "v1")
        [gateway] = await self.add_gateways("a")
        stream = await self.begin(gateway)
        await self.resume(gateway, stream)
        async with asyncio.timeout(10.0):
            while not (lines := self.resumed_lines(gateway.log())):
                await asyncio.sleep(0.02)
        self.assertEqual(lines[0]["resumes"], stream.first)
        self.assertEqual(lines[0]["last_event"], "2")
        self.assertEqual(lines[0]["service"], "engines")
        self.assertEqual(lines[0]["version"], "v1")

    async def test_metrics(self) -> None:
        """Count resumed streams by who knew where they began."""
        await self.add_engine("i-1", "v1")
        first, second = await self.add_gateways("a", "b")
        stream = await self.begin(first)
        await self.resume(first, stream, 1)
        await self.resume(second, stream, 1)
        unknown = Stream(first="other", ids=[1], versions=[])
        await self.resume(second, unknown, X_Program_Id="other")
        known = 'sequoiaarch_resumed_streams_total{known="%s"} 1'
        metrics = [
            gateway.daemon.metrics_text().decode() for gateway in (first, second)
        ]
        self.assertIn(known % "here", metrics[0])
        self.assertIn(known % "no", metrics[1])
        self.assertIn('sequoiaarch_state{name="stream_origins"} 2', metrics[0])

    def resumed_lines(self, lines: list[dict[str, object]]) -> list[dict[str, object]]:
        """Return the lines of requests that resume a stream."""
        return [line for line in lines if "resumes" in line]


class TwoVersionsTests(VersionedDeploymentTestCase):
    """Break off and resume streams while two versions of a service run."""

    async def asyncSetUp(self) -> None:
        """Start two engines of the first version."""
        await super().asyncSetUp()
        for name in ("i-1", "i-2"):
            await self.add_engine(name, "v1")

    async def add_second_version(self) -> None:
        """Start two engines of the second version."""
        for name in ("i-3", "i-4"):
            await self.add_engine(name, "v1.1")
        await self.wait_for_targets(4)

    def check_resumed(self, streams: list[Stream]) -> None:
        """Check that no stream is of two versions, and that all went on."""
        mixed = [stream for stream in streams if stream.mixed]
        self.assertEqual(len(mixed), 0, f"of {len(streams)} streams")
        whole = [stream for stream in streams if stream.whole]
        self.assertEqual(len(whole), len(streams), streams)

    async def begin_all(self, gateway: GatewayProcess, events: int = 2) -> list[Stream]:
        """Begin streams and break them off after some events."""
        begun = (self.begin(gateway, events) for _ in range(STREAMS))
        return list(await asyncio.gather(*begun))

    async def test_resumed_at_same_gateway(self) -> None:
        """Go on at the version that began a stream, at the gateway that began it."""
        [gateway] = await self.add_gateways("a")
        await self.add_second_version()
        streams = await self.begin_all(gateway)
        for stream in streams:
            await self.resume(gateway, stream)
        self.check_resumed(streams)
        self.assertEqual({s.versions[0] for s in streams}, {"v1", "v1.1"})

    async def test_resumed_at_another_gateway(self) -> None:
        """Go on at the version that began a stream, at a gateway that did not."""
        first, second = await self.add_gateways("a", "b")
        await self.add_second_version()
        streams = await self.begin_all(first)
        for stream in streams:
            await self.resume(second, stream)
        self.check_resumed(streams)

    async def test_resumed_after_first_gateway_was_lost(self) -> None:
        """Go on at the version that began a stream when its gateway is killed."""
        first, *others = await self.add_gateways("a", "b", "c", "d", "e")
        await self.add_second_version()
        streams = await self.begin_all(first)
        await self.kill("a")
        for number, stream in enumerate(streams):
            await self.resume(others[number % len(others)], stream)
        self.check_resumed(streams)

    async def test_version_added_before_resumption(self) -> None:
        """Keep streams at their version if another one starts after they began."""
        first, second = await self.add_gateways("a", "b")
        streams = await self.begin_all(first)
        await self.add_second_version()
        for stream in streams:
            await self.resume(second, stream)
        self.check_resumed(streams)

    async def test_broken_off_twice(self) -> None:
        """Keep streams at their version over several attempts at several gateways."""
        gateways = await self.add_gateways("a", "b", "c")
        await self.add_second_version()
        streams = await self.begin_all(gateways[0], events=1)
        for gateway, events in ((gateways[1], 2), (gateways[2], 2)):
            for stream in streams:
                await self.resume(gateway, stream, events=events)
        self.check_resumed(streams)

    async def test_without_the_first_attempt(self) -> None:
        """Find the version by the request if the caller names no attempt."""
        first, second = await self.add_gateways("a", "b")
        await self.add_second_version()
        streams = await self.begin_all(first)
        for stream in streams:
            await self.resume(second, stream, Resumes="")
        self.check_resumed(streams)

    async def test_resumed_while_first_attempt_runs(self) -> None:
        """Go on at the same version twice, although the first attempt still runs."""
        first, second = await self.add_gateways("a", "b")
        await self.add_second_version()
        streams = await self.begin_all(first)
        twins = [
            Stream(first=stream.first, ids=[*stream.ids], versions=[*stream.versions])
            for stream in streams
        ]
        await asyncio.gather(
            *(self.resume(first, stream) for stream in streams),
            *(self.resume(second, twin) for twin in twins),
        )
        self.check_resumed([*streams, *twins])

    async def test_three_versions_that_come_and_go(self) -> None:
        """Keep streams at their version while others are removed and come back."""
        first, second = await self.add_gateways("a", "b")
        await self.add_second_version()
        streams = await self.begin_all(first)
        for name in ("i-1", "i-2"):
            await self.store.put("keyed.servers", name, b"")
        for name in ("i-5", "i-6"):
            await self.add_engine(name, "v1.2")
        # As many as before: their number does not tell that the change is known.
        await self.wait_for_engines("i-3", "i-4", "i-5", "i-6")
        for stream in streams:
            await self.resume(second, stream)
        self.assertFalse([stream for stream in streams if stream.mixed])
        for stream in streams:
            self.assertEqual(stream.whole, stream.versions[0] == "v1.1", stream)
        for name in ("i-1", "i-2"):
            await self.register(name, ENGINES, version="v1")
        await self.wait_for_targets(6)
        for stream in streams:
            if not stream.whole:
                await self.resume(first, stream)
        self.check_resumed(streams)


class RefusedStreamsTests(VersionedDeploymentTestCase):
    """Resume streams that can't go on at the version that began them."""

    async def asyncSetUp(self) -> None:
        """Start a gateway and one engine of a version."""
        await super().asyncSetUp()
        await self.add_engine("i-1", "v1")
        [self.gateway] = await self.add_gateways("a")

    async def replace_engine(self, version: str, **extra: str) -> None:
        """Replace the engine by one of another version."""
        await self.add_engine("i-2", version, **extra)
        await self.wait_for_targets(2)
        await self.store.put("keyed.servers", "i-1", b"")
        await self.wait_for_targets(1)

    def check_refused(self, stream: Stream, reason: str, status: int = 503) -> None:
        """Check that a stream was refused as not run, with a time to retry."""
        self.assertEqual(stream.status, status, stream)
        self.assertIn(b'"not_run":"true"', stream.error)
        self.assertIn(reason.encode(), stream.error)
        self.assertGreater(float(stream.headers["retry-after"]), 0)

    async def test_no_target_of_the_version(self) -> None:
        """Refuse at once if no target of the version is left, and run nothing."""
        stream = await self.begin(self.gateway)
        await self.replace_engine("v1.1")
        started = asyncio.get_running_loop().time()
        await self.resume(self.gateway, stream)
        self.assertLess(asyncio.get_running_loop().time() - started, 0.5)
        self.check_refused(stream, "no target of engines v1 is left")
        self.assertEqual(self.targets["i-2"].exchanges, [])

    async def test_no_target_while_the_store_is_away(self) -> None:
        """Refuse at once if no target is left, without asking for a budget first."""
        stream = await self.begin(self.gateway)
        await self.replace_engine("v1.1")
        self.clients["a"].faults.down = True
        started = asyncio.get_running_loop().time()
        # The budget of another program is not in memory.
        await self.resume(self.gateway, stream, X_Program_Id="other")
        self.assertLess(asyncio.get_running_loop().time() - started, 0.3)
        self.check_refused(stream, "no target of engines v1 is left")

    async def test_last_target_of_the_version_drains(self) -> None:
        """Go on at a target that has just begun to drain, and not for long.

        The last targets of a version finish the streams that they began.
        """
        await self.add_engine("i-2", "v1.1")
        await self.wait_for_targets(2)
        streams = [stream for stream in await self.begin_some() if stream.versions]
        old = [stream for stream in streams if stream.versions[0] == "v1"]
        self.assertGreater(len(old), 1)
        # Ends the pending read of the targets, as heartbeats do: the time at the
        # draining target counts from the read before the one that shows it.
        await self.register("i-2", ENGINES, version="v1.1")
        await asyncio.sleep(2 * TARGETS_BATCH_DELAY)
        await self.register("i-1", ENGINES, "draining", version="v1")
        targets = self.gateway.daemon.targets
        async with asyncio.timeout(10.0):
            while not targets.find(InstanceId("i-1")).draining:  # type: ignore[union-attr]
                await asyncio.sleep(0.01)
        await self.resume(self.gateway, old[0])
        self.assertTrue(old[0].whole, old[0])
        self.assertFalse(old[0].mixed)
        await asyncio.sleep(DRAIN_SECONDS)
        await self.resume(self.gateway, old[1])
        self.check_refused(old[1], "no target of engines v1 is left")

    async def begin_some(self) -> list[Stream]:
        """Begin streams at all targets, and break them off."""
        begun = (self.begin(self.gateway) for _ in range(STREAMS))
        return list(await asyncio.gather(*begun))

    async def test_same_label_at_another_service(self) -> None:
        """Refuse a stream whose route moved to another service, whatever its version.

        A version label says nothing across services.
        """
        stream = await self.begin(self.gateway)
        moved = [
            route("/free/", "stream", "tools", resumable=True, sticky=True),
            *ROUTES[:1],
        ]
        await self.add_engine("i-2", "v1", "tools")
        await self.store.put("keyed.op", "config", config(2, moved))
        await self.wait_for_targets(2)
        async with asyncio.timeout(10.0):
            while self.gateway.daemon.dispatcher.routes.version != 2:  # type: ignore[union-attr]
                await asyncio.sleep(0.01)
        await self.resume(self.gateway, stream)
        self.check_refused(stream, "no target of engines v1 is left")

    async def test_unknown_attempts(self) -> None:
        """Refuse to resume attempts that never were or brought no event."""
        for name in ("never-sent", "x" * 4000, "\u00e9\u00fc"):
            stream = Stream(first=name, ids=[2], versions=["v1"])
            await self.resume(self.gateway, stream, X_Program_Id="other")
            self.check_refused(stream, "not known at which version")
        self.targets["i-1"].behaviour = not_run_answer
        rejected = Stream(first="rejected", ids=[], versions=[])
        await self.receive(self.gateway, rejected, "rejected", 5, {})
        self.assertEqual(rejected.status, 429)
        rejected.ids.append(2)
        await self.resume(self.gateway, rejected)
        self.check_refused(rejected, "not known at which version")

    async def test_request_was_sent_anew(self) -> None:
        """Refuse a stream without a named attempt whose request began twice."""
        stream = await self.begin(self.gateway)
        await self.replace_engine("v1.1")
        again = Stream(first=stream.first)
        await self.receive(self.gateway, again, self.fresh_id(), 2, {})
        self.assertEqual(again.versions, ["v1.1", "v1.1"])
        await self.resume(self.gateway, again, Resumes="")
        self.check_refused(again, "several versions are known")

    async def test_version_changes_within_a_registration(self) -> None:
        """Trust no version of a target that registered another one meanwhile."""
        stream = await self.begin_while_version_changes(Stream(first="one"))
        self.assertEqual(stream.status, 200)
        await self.resume(self.gateway, stream)
        self.check_refused(stream, "several versions are known")

    async def test_version_changes_while_a_stream_is_resumed(self) -> None:
        """Forward no event of a target that registered another version meanwhile."""
        stream = await self.begin(self.gateway)
        await self.begin_while_version_changes(stream)
        self.assertEqual(stream.status, 502)
        self.assertEqual(stream.versions, ["v1", "v1"])

    async def begin_while_version_changes(self, stream: Stream) -> Stream:
        """Begin or resume a stream at a target that then registers another version."""
        release = asyncio.Event()
        begun = asyncio.Event()

        async def wait_then_answer(exchange: TargetExchange) -> None:
            begun.set()
            await release.wait()
            await versioned_answer("v1")(exchange)

        self.targets["i-1"].behaviour = wait_then_answer
        if stream.ids:
            attempt = self.resume(self.gateway, stream)
        else:
            attempt = self.receive(self.gateway, stream, stream.first, 2, {})
        running = asyncio.create_task(attempt)
        await begun.wait()
        await self.register("i-1", ENGINES, version="v1.1")
        targets = self.gateway.daemon.targets
        async with asyncio.timeout(10.0):
            while targets.find(InstanceId("i-1")).version != "v1.1":  # type: ignore[union-attr]
                await asyncio.sleep(0.01)
        release.set()
        await running
        return stream

    async def test_one_of_two_targets_is_full(self) -> None:
        """Go on at the second target of the version if the first one refuses."""
        stream = await self.begin(self.gateway)
        await self.add_engine("i-2", "v1")
        await self.add_engine("i-3", "v1.1")
        await self.wait_for_targets(3)
        self.targets["i-1"].behaviour = not_run_answer
        await self.resume(self.gateway, stream)
        self.assertTrue(stream.whole, stream)
        self.assertFalse(stream.mixed)

    async def test_all_targets_of_the_version_are_full(self) -> None:
        """Refuse with the time to retry, as full targets may have room again."""
        stream = await self.begin(self.gateway)
        await self.add_engine("i-2", "v1.1")
        await self.wait_for_targets(2)
        self.targets["i-1"].behaviour = not_run_answer
        await self.resume(self.gateway, stream)
        self.check_refused(stream, "targets refused", status=429)
        self.assertEqual(self.targets["i-2"].exchanges, [])

    async def test_kept_turn(self) -> None:
        """Refuse to resume a kept turn, whose history would lack its first events."""
        first = await self.turn(self.gateway.daemon, b"a", attempt="t1")
        self.assertEqual(first.status, 200)
        resumed = await self.turn(
            self.gateway.daemon, b"a", attempt="t2", Resumes="t1", Last_Event_Id="1"
        )
        self.assertEqual(resumed.status, 503)
        self.assertIn(b"would lack the events", resumed.body)
        later = await self.turn(self.gateway.daemon, b"b", previous="t2")
        self.assertEqual(later.status, 404)

    async def test_budget_counts_all_attempts(self) -> None:
        """Count the tokens of each attempt of a stream against the budget."""
        stream = await self.begin(self.gateway)
        await self.resume(self.gateway, stream)
        self.assertTrue(stream.whole)
        async with asyncio.timeout(10.0):
            while not (spent := self.spent_steps()):
                await asyncio.sleep(0.02)
        self.assertIn(f"spent {2 * EVENT_TOKENS} of 1000 tokens", spent[0])

    def spent_steps(self) -> list[str]:
        """Return what was spent before each resumed attempt."""
        return [
            step
            for line in self.gateway.log()
            if "resumes" in line
            for step in line["steps"]
            if step.startswith("spent")
        ]
