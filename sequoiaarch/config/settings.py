"""Declare the settings of a daemon."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

from pydantic import Field, model_validator

from .validation import Options, load_jsonc, validate


class Role(Enum):
    """Say what a daemon does."""

    GATEWAY = "gateway"
    SIDECAR = "sidecar"
    STANDALONE = "standalone"


class LogFormat(Enum):
    """Say how log lines are written."""

    TEXT = "text"
    JSON = "json"


class LogLevel(Enum):
    """Say which log lines are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class HttpOptions(Options):
    """Set where HTTP is answered."""

    address: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)
    max_threads: int = Field(default=512, ge=32, le=4096)
    max_body: int = Field(default=8 * 1024 * 1024, ge=1024)


class CurveOptions(Options):
    """Set the keys of the inner links, as Z85 text of 40 characters."""

    public: str = Field(min_length=40, max_length=40)
    secret: str = Field(min_length=40, max_length=40)
    server: str = Field(min_length=40, max_length=40)


class InnerOptions(Options):
    """Set where the inner protocol is spoken."""

    address: str = "tcp://127.0.0.1:*"
    curve: CurveOptions | None = None
    silence_limit: float = Field(default=3.0, ge=0.5, le=60)


class PlatformOptions(Options):
    """Set where the platform's services are."""

    log: str | None = None
    hosts: str | None = None
    weights: str | None = None


class Caller(Options):
    """Map a bearer key to a workspace."""

    key: str = Field(min_length=8)
    workspace: str = Field(min_length=1, pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]*$")


class WorkspaceLimit(Options):
    """Bound what the callers of a workspace may send through this daemon."""

    workspace: str
    rate: float = Field(gt=0, description="requests a second")
    burst: float = Field(default=0, ge=0, description="requests more at once")


class LoggingOptions(Options):
    """Set what is logged and how."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT


class LimitOptions(Options):
    """Set the bounds of queues and buffers; times in seconds."""

    uncommitted_bytes: int = Field(default=64 * 1024 * 1024, ge=1024)
    queue_length: int = Field(default=512, ge=1)
    retry_budget: float = Field(default=0.2, ge=0, le=1)
    submit_timeout: float = Field(default=5.0, gt=0)
    drain_timeout: float = Field(default=120.0, gt=0)
    lame_duck: float = Field(default=0.5, ge=0)
    append_interval: float = Field(default=0.01, ge=0)
    cache_check: float = Field(default=10.0, gt=0)
    renew_after: int = Field(
        default=100_000,
        ge=16,
        description="records after which a program is appended again",
    )
    renew_interval: float = Field(
        default=21_600.0,
        gt=0,
        description="seconds after which a program is appended again",
    )


class Settings(Options):
    """Set everything that one daemon has to know at its start."""

    role: Role
    host: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    target: str | None = None
    http: HttpOptions = HttpOptions()
    inner: InnerOptions = InnerOptions()
    platform: PlatformOptions = PlatformOptions()
    peers: list[str] = []
    callers: list[Caller] = []
    workspace_limits: list[WorkspaceLimit] = []
    operator_keys: list[str] = []
    shards: int = Field(default=4, ge=1, le=1024)
    logging: LoggingOptions = LoggingOptions()
    limits: LimitOptions = LimitOptions()
    near: dict[str, float] = Field(
        default={}, description="seconds of delay, one way, to other data centres"
    )

    @model_validator(mode="after")
    def _check_role(self) -> Settings:
        if self.role is Role.SIDECAR and not self.target:
            raise ValueError("role 'sidecar' needs 'target', the name of its target")
        if self.role is Role.GATEWAY and not self.callers:
            raise ValueError("role 'gateway' needs 'callers', at least one bearer key")
        known = {caller.workspace for caller in self.callers}
        held = {(caller.key, caller.workspace) for caller in self.callers}
        if len(held) != len({key for key, _ in held}):
            raise ValueError("'callers' gives one key to two workspaces")
        for limit in self.workspace_limits:
            if limit.workspace not in known:
                raise ValueError(f"workspace {limit.workspace!r} has no caller")
        if self.role is not Role.STANDALONE and self.platform.log is None:
            raise ValueError(f"role {self.role.value!r} needs 'platform.log', a URL")
        return self


def load_settings(path: Path) -> Settings:
    """Return the settings that a file holds."""
    return validate(Settings, load_jsonc(path))
