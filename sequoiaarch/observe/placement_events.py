"""Log the decisions of owners of engines about programs without a placement."""

from __future__ import annotations

from ..fleet.engine_owner import Outcome, OwnerDecision
from ..ids import HostName
from .events import EventLog

EVENT = "placement"


def log_decision(events: EventLog, owner: HostName, decision: OwnerDecision) -> None:
    """Write one line with the program, the decision and what it was based on."""
    request, demand = decision.request, decision.demand
    fields = {
        "left": _rounded(demand.left),
        "sent_from": request.sent_from,
        "age": _rounded(decision.age),
        "retry_after": _rounded(decision.retry_after),
        "centre": decision.centre,
        "centre_free": decision.centre_free,
        "centre_age": _rounded(decision.centre_age),
    }
    events.emit(
        EVENT,
        level="info",
        message=_message(decision),
        decision=decision.outcome.value,
        owner=owner,
        program=request.program,
        workspace=demand.workspace,
        service=demand.service,
        rank=demand.rank,
        tokens=demand.tokens,
        max_wait=round(demand.max_wait, 4),
        programs=decision.programs,
        engines=decision.engines,
        to_retry=decision.to_retry,
        rate=round(decision.rate, 1),
        **{name: value for name, value in fields.items() if value is not None},
    )


def _message(decision: OwnerDecision) -> str:
    request = decision.request
    program = f"program {request.program} of workspace {decision.demand.workspace}"
    if decision.outcome is Outcome.REDIRECTED:
        return f"{program} is sent to {decision.centre}: {decision.reason}"
    if decision.outcome is Outcome.DECLINED:
        return f"{program} is sent back to {request.sent_from}: {decision.reason}"
    return (
        f"{program} is refused: {decision.reason}, {decision.rate:.1f} programs begin"
        f" each second; retry in {decision.retry_after:.2f} s"
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
