"""Define the settings of a daemon."""

from __future__ import annotations

from enum import Enum
from pathlib import Path

from pydantic import Field, model_validator

from .validation import Options, load_jsonc, validate


class Role(Enum):
    """Role of a daemon."""

    GATEWAY = "gateway"
    SIDECAR = "sidecar"
    STANDALONE = "standalone"


class LogFormat(Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(Enum):
    """Lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class HttpOptions(Options):
    """Configure the HTTP server; `max_body` is in bytes."""

    address: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)
    max_threads: int = Field(default=512, ge=32, le=4096)
    max_body: int = Field(default=8 * 1024 * 1024, ge=1024)


class CurveOptions(Options):
    """Configure the CURVE keys of internal links, Z85-encoded in 40 characters."""

    public: str = Field(min_length=40, max_length=40)
    secret: str = Field(min_length=40, max_length=40)
    server: str = Field(min_length=40, max_length=40)


class InnerOptions(Options):
    """Configure the internal protocol; `silence_limit` is in seconds."""

    address: str = "tcp://127.0.0.1:*"
    curve: CurveOptions | None = None
    silence_limit: float = Field(default=3.0, ge=0.5, le=60)


class PlatformOptions(Options):
    """Configure the URLs of the platform's services."""

    log: str | None = None
    hosts: str | None = None
    weights: str | None = None


class Caller(Options):
    """Map a bearer key to a workspace."""

    key: str = Field(min_length=8)
    workspace: str = Field(min_length=1, pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]*$")


class WorkspaceLimit(Options):
    """Limit the rate of requests from a workspace through this daemon."""

    workspace: str
    rate: float = Field(gt=0, description="requests a second")
    burst: float = Field(default=0, ge=0, description="requests more at once")


class LoggingOptions(Options):
    """Configure the level and format of the logs."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT


class LimitOptions(Options):
    """Configure the limits of queues, buffers and timeouts; times in seconds."""

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
        description="records after which a snapshot of a program is appended",
    )
    renew_interval: float = Field(
        default=21_600.0,
        gt=0,
        description="seconds after which a snapshot of a program is appended",
    )


class Settings(Options):
    """Settings of one daemon, read at its start."""

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
        caller_workspaces = {caller.workspace for caller in self.callers}
        key_pairs = {(caller.key, caller.workspace) for caller in self.callers}
        if len(key_pairs) != len({key for key, _ in key_pairs}):
            raise ValueError("'callers' gives one key to two workspaces")
        for limit in self.workspace_limits:
            if limit.workspace not in caller_workspaces:
                raise ValueError(f"workspace {limit.workspace!r} has no caller")
        if self.role is not Role.STANDALONE and self.platform.log is None:
            raise ValueError(f"role {self.role.value!r} needs 'platform.log', a URL")
        return self


def load_settings(path: Path) -> Settings:
    """Load the settings from a file.

    Raises InvalidDocument with all problems.
    """
    return validate(Settings, load_jsonc(path))
