"""Count the requests that run at each target."""

from __future__ import annotations

from collections import defaultdict

from ..ids import InstanceId


class LoadBoard:
    """Count this process's requests at each target and what peers report."""

    def __init__(self) -> None:
        self._own: dict[InstanceId, int] = defaultdict(int)

    @property
    def own(self) -> dict[InstanceId, int]:
        """Return this process's requests at each target."""
        return {instance: count for instance, count in self._own.items() if count}

    def started(self, instance: InstanceId) -> None:
        """Count a request that was sent."""
        self._own[instance] += 1

    def ended(self, instance: InstanceId) -> None:
        """Count a request no longer."""
        self._own[instance] -= 1

    def running(self, instance: InstanceId) -> float:
        """Return the requests that are known to be at a target."""
        return self._own.get(instance, 0)
