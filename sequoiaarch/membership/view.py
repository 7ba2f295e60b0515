"""Combine the platform's host list with what the targets report."""

from __future__ import annotations

import asyncio
import math
import time

import logbook

from ..config.documents import TargetDocument
from ..config.store import Catalogue
from ..errors import Failure
from ..ids import HostName, TargetName
from ..observe.metrics import Metrics
from ..storage.interfaces import HostList, HostState
from ..wire.links import Links
from ..wire.messages import Load, LoadReply, LoadRequest

log = logbook.Logger("membership")

# In seconds.
LIST_INTERVAL = 1.0
PROBE_INTERVAL = 0.5
PROBE_TIMEOUT = 1.0


class Membership:
    """Track which targets are live, leaving, silent or draining.

    The host list lags, so a target is also avoided when its sidecar is silent or
    reports that it drains. Such a target is probed until it answers and takes work
    again.
    """

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        hosts: HostList | None,
        links: Links,
        metrics: Metrics,
    ) -> None:
        self._catalogue = catalogue
        self._host_list = hosts
        self._links = links
        self._metrics = metrics
        self._hosts: dict[HostName, HostState] | None = None
        self._silent: set[TargetName] = set()
        self._loads: dict[TargetName, Load] = {}
        self._calls_since_report: dict[TargetName, int] = {}
        self._probes: dict[TargetName, asyncio.Task[None]] = {}
        self._reported_at: dict[TargetName, float] = {}

    def sidecar_addresses(self) -> dict[TargetName, str]:
        """Return the addresses of the sidecars that should answer, by target."""
        return {
            TargetName(target.name): target.spec.address
            for target in self._catalogue.targets
            if self.answers(target)
        }

    def address(self, name: TargetName) -> str | None:
        """Return the address of the sidecar beside a target."""
        target = self._catalogue.target(name)
        return target.spec.address if target else None

    def answers(self, target: TargetDocument) -> bool:
        """Return whether the sidecar of a target is expected to answer."""
        if TargetName(target.name) in self._silent:
            return False
        return self._host_state(target) is not None

    def takes_work(self, target: TargetDocument) -> bool:
        """Return whether a target may be given new programs."""
        load = self._loads.get(TargetName(target.name))
        if load is not None and load.draining:
            return False
        live = self._host_state(target) is HostState.LIVE
        return live and self.answers(target)

    def leaving(self, name: TargetName) -> bool:
        """Return whether the host list shows a target's host as leaving."""
        target = self._catalogue.target(name)
        return target is not None and self._host_state(target) is HostState.LEAVING

    def _host_state(self, target: TargetDocument) -> HostState | None:
        if self._hosts is None:
            # Until the list is read, all hosts count as live; sidecars that do not
            # answer are marked silent.
            return HostState.LIVE
        return self._hosts.get(HostName(target.spec.host))

    def load(self, name: TargetName) -> Load | None:
        """Return the last load that a target reported."""
        return self._loads.get(name)

    def report_age(self, name: TargetName) -> float:
        """Return the seconds since a target reported its load, or infinity."""
        reported = self._reported_at.get(name)
        return time.monotonic() - reported if reported is not None else math.inf

    def sent_since(self, name: TargetName) -> int:
        """Return the number of calls sent to a target since its last report."""
        return self._calls_since_report.get(name, 0)

    def note_sent(self, name: TargetName) -> None:
        """Count a call sent to a target."""
        self._calls_since_report[name] = self._calls_since_report.get(name, 0) + 1

    def note_load(self, load: Load | None) -> None:
        """Store the load that came with a reply."""
        if load is None:
            return
        self._loads[load.target] = load
        self._calls_since_report[load.target] = 0
        self._reported_at[load.target] = time.monotonic()
        if load.draining:
            self._probe(load.target)

    def note_silent(self, name: TargetName) -> None:
        """Mark a target silent until its sidecar answers a probe."""
        if name not in self._silent:
            log.warning("Target {} is silent and gets no work.", name)
            self._metrics.peers_lost.inc({})
        self._silent.add(name)
        self._probe(name)

    def silent(self, name: TargetName) -> bool:
        """Return whether a target is marked silent."""
        return name in self._silent

    def _probe(self, name: TargetName) -> None:
        running = self._probes.get(name)
        if running is None or running.done():
            self._probes[name] = asyncio.create_task(self._run_probe(name))

    async def _run_probe(self, name: TargetName) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            address = self.address(name)
            if address is None:
                return
            link = self._links.to(address)
            reply = await link.call(LoadRequest(), timeout=PROBE_TIMEOUT)
            if not isinstance(reply, LoadReply):
                continue
            if name in self._silent:
                log.info("Target {} answers again.", name)
                self._silent.discard(name)
            self._loads[name] = reply.load
            if not reply.load.draining:
                return

    async def run(self) -> None:
        """Poll the host list for ever."""
        if self._host_list is None:
            return
        while True:
            entries = await self._host_list.hosts()
            if not isinstance(entries, Failure):
                self._update_hosts({entry.host: entry.state for entry in entries})
            await asyncio.sleep(LIST_INTERVAL)

    def _update_hosts(self, hosts: dict[HostName, HostState]) -> None:
        previous = self._hosts or {}
        for host in sorted(previous.keys() | hosts.keys()):
            if previous and previous.get(host) is not hosts.get(host):
                state = hosts.get(host)
                description = state.value if state else "gone"
                log.info("Host {} is {}.", host, description)
        self._hosts = hosts

    def close(self) -> None:
        """Stop all probes."""
        for probe in self._probes.values():
            probe.cancel()
