"""Types of identifiers that are used across packages."""

from __future__ import annotations

import secrets
from typing import NewType

ProgramId = NewType("ProgramId", str)
Workspace = NewType("Workspace", str)
TargetName = NewType("TargetName", str)
HostName = NewType("HostName", str)
DataCentre = NewType("DataCentre", str)
RecordId = NewType("RecordId", str)
AttemptId = NewType("AttemptId", str)
CallKey = NewType("CallKey", str)
Epoch = NewType("Epoch", int)
Offset = NewType("Offset", int)
Seq = NewType("Seq", int)
ServiceName = NewType("ServiceName", str)
InstanceId = NewType("InstanceId", str)
SessionId = NewType("SessionId", str)
TurnId = NewType("TurnId", str)
WriterId = NewType("WriterId", str)
LoanId = NewType("LoanId", str)
OpeningId = NewType("OpeningId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
StreamKey = NewType("StreamKey", bytes)
RequestKey = NewType("RequestKey", bytes)
SendId = NewType("SendId", str)

RANDOM_ID_BYTES = 9
CHILD_SEPARATOR = "."


def new_id(prefix: str) -> str:
    """Return a new random identifier with the prefix."""
    return f"{prefix}-{secrets.token_hex(RANDOM_ID_BYTES)}"


def root_of(program: ProgramId) -> ProgramId:
    """Return the root of a program's tree of sub-agents; a root returns itself."""
    return ProgramId(program.split(CHILD_SEPARATOR, 1)[0])
