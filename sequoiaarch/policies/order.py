"""Order the calls that wait at a target."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ..config.documents import OrderName
from ..ids import ProgramId

AGEING = 0.25


@dataclass(kw_only=True, eq=False)
class Ticket:
    """Describe a call that waits; times in seconds of the event loop.

    `attained` is the service that the whole program has had so far, in
    seconds of engine time; `started` says that its prefix was built here.
    """

    program: ProgramId
    arrived: float
    attained: float = 0.0
    weight: float = 1.0
    started: bool = False
    tokens: int = 0
    number: int = field(default=0)


class Order(Protocol):
    """Rank the calls that wait; the lowest rank runs first."""

    def rank(self, ticket: Ticket, now: float) -> float:
        """Return the rank of a call."""


class FirstComeOrder:
    """Run calls in the order in which they came."""

    def rank(self, ticket: Ticket, now: float) -> float:
        """Return the arrival."""
        return ticket.arrived


class AttainedOrder:
    """Run the call first whose whole program has had the least service.

    A program that waits gains on the others, so that none starves.
    """

    def rank(self, ticket: Ticket, now: float) -> float:
        """Return the attained service less a share of the wait."""
        waited = now - ticket.arrived
        return ticket.attained / ticket.weight - AGEING * waited * ticket.weight


def make_order(name: OrderName) -> Order:
    """Return the order of a name."""
    if name is OrderName.ATTAINED:
        return AttainedOrder()
    return FirstComeOrder()
