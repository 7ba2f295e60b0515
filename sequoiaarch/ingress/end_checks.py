"""Check whether a target has ended that answered requests without serving them."""

from __future__ import annotations

import asyncio
from enum import Enum

from ..fleet.exposures import ExposureTracker
from ..http1.client import ClientConnection
from ..ids import InstanceId
from ..policies.exposures import RequestIdentity
from ..reply_timeout import reply_timeout
from ..routing.targets import TargetEntry, Targets

# Seconds for a connection to a target of the same region, which takes 2 ms.
CONNECT_TIMEOUT = 0.4
# Seconds for the refusal of a closed port, for which a caller waits.
CLOSED_TIMEOUT = 0.1
CLOSED_EVIDENCE = "its port is closed"


class PortState(Enum):
    """What a connection to a target's port shows."""

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"


class EndChecks:
    """Put ends of targets to requests that they had answered.

    A registration that is removed does not show an end, as a target may leave in this
    way and still serve. Nor does a closed connection. Its port shows it.
    """

    def __init__(self, *, exposures: ExposureTracker, targets: Targets) -> None:
        self._exposures = exposures
        self._targets = targets
        self._checks: dict[InstanceId, asyncio.Task[None]] = {}

    def watch(self, target: TargetEntry, connection: ClientConnection) -> None:
        """Check a target when it closes a connection on which it has just failed."""
        if connection.usable:
            connection.on_lost = lambda: self._start(target, None)

    def target_left(self, target: TargetEntry, evidence: str) -> None:
        """Check a target whose registration is gone."""
        if not target.draining:
            self._start(target, evidence)

    async def check_broken(self, request: RequestIdentity) -> None:
        """Put ends of targets to a common request that broke more than once.

        Its broken exchanges don't count, as they may be those of several callers.
        """
        names = self._exposures.broken_targets(request)
        if len(names) > 1:
            await asyncio.gather(*(self._check_port(request, name) for name in names))

    async def _check_port(self, request: RequestIdentity, name: InstanceId) -> None:
        target = self._targets.find_incarnation(name)
        if target is None:
            return
        state = await port_state(target.address, timeout=CLOSED_TIMEOUT)
        if state is PortState.CLOSED:
            self._exposures.ended_unanswered(request, name, CLOSED_EVIDENCE)

    def close(self) -> None:
        """Cancel all checks."""
        for check in self._checks.values():
            check.cancel()

    def _start(self, target: TargetEntry, left: str | None) -> None:
        """Check a target; `left` tells what shows that it is not registered."""
        name = target.incarnation
        if name in self._checks or not self._exposures.answered_at(name):
            return
        check = asyncio.create_task(self._check(target, left))
        self._checks[name] = check
        check.add_done_callback(lambda done: self._checks.pop(name, None))

    async def _check(self, target: TargetEntry, left: str | None) -> None:
        state = await port_state(target.address, timeout=CONNECT_TIMEOUT)
        # Its next start may listen at the same port.
        registered = self._targets.find(target.instance)
        ended = registered is not None and registered.born != target.born
        if left is not None:
            ended |= state is not PortState.OPEN
        else:
            ended |= state is PortState.CLOSED
        if ended:
            evidence = left or CLOSED_EVIDENCE
            self._exposures.ended_after_answers(target.incarnation, evidence)


async def port_state(address: tuple[str, int], *, timeout: float) -> PortState:
    """Connect to a port within `timeout` seconds, and close the connection."""
    loop = asyncio.get_running_loop()
    try:
        async with reply_timeout(timeout):
            transport, _ = await loop.create_connection(asyncio.Protocol, *address)
    except ConnectionRefusedError:
        return PortState.CLOSED
    except (TimeoutError, OSError):
        return PortState.SILENT
    transport.abort()
    return PortState.OPEN
