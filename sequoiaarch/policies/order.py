"""Order the calls that wait at a target."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ..config.documents import OrderName
from ..ids import ProgramId

# Seconds of attained service that a second of waiting offsets.
AGEING_RATE = 0.25


@dataclass(kw_only=True, eq=False)
class Ticket:
    """Describe a waiting call; times are in seconds of the event loop.

    `attained` is the engine time in seconds that the whole program has had so far;
    `started` tells that its prefix was built at this target.
    """

    program: ProgramId
    arrived: float
    attained: float = 0.0
    weight: float = 1.0
    started: bool = False
    tokens: int = 0
    number: int = field(default=0)


class Order(Protocol):
    """Rank waiting calls; the lowest rank runs first."""

    def rank(self, ticket: Ticket, now: float) -> float:
        """Return the rank of a call."""


class FirstComeOrder:
    """Run calls in order of arrival."""

    def rank(self, ticket: Ticket, now: float) -> float:
        """Return the time of arrival."""
        return ticket.arrived


class LeastAttainedOrder:
    """Run the call first whose program has attained the least service.

    Ageing prevents starvation.
    """

    def rank(self, ticket: Ticket, now: float) -> float:
        """Return the weighted attained service, reduced by ageing."""
        waited = now - ticket.arrived
        return ticket.attained / ticket.weight - AGEING_RATE * waited * ticket.weight


def make_order(name: OrderName) -> Order:
    """Return the order policy with the given name."""
    if name is OrderName.ATTAINED:
        return LeastAttainedOrder()
    return FirstComeOrder()
