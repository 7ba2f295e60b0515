"""Run a gateway, sidecars and stand-ins in one process, for trials."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import logbook
import zmq.asyncio

from ..config.documents import parse_documents
from ..config.settings import Caller, InnerOptions, Settings
from ..config.store import Change, Publication
from ..errors import Failure
from ..gateway.gateway import Gateway
from ..ids import RecordId, TargetName, new_id
from ..sidecar.sidecar import Sidecar
from ..standins.engine import EngineOptions, EngineStandIn
from ..standins.service import ServiceStandIn
from ..storage.memory import MemoryLog
from .base import Core, PlatformServices, fixed_hosts, make_core

log = logbook.Logger("daemon")

TRIAL_KEY = "trial-key"
TRIAL_OPERATOR_KEY = "trial-operator-key"
TRIAL_WORKSPACE = "trial"
TRIAL_MODEL = "stand-in"


class Standalone:
    """A complete system in one process that keeps all data in memory."""

    def __init__(self, *, settings: Settings) -> None:
        callers = settings.callers or [Caller(key=TRIAL_KEY, workspace=TRIAL_WORKSPACE)]
        operator_keys = settings.operator_keys or [TRIAL_OPERATOR_KEY]
        self._settings = settings.model_copy(
            update={
                "callers": callers,
                "operator_keys": operator_keys,
                "inner": InnerOptions(),
            }
        )
        self._platform = PlatformServices(log=MemoryLog(), hosts=fixed_hosts(settings))
        self._context = zmq.asyncio.Context()
        self.engine = EngineStandIn(options=EngineOptions())
        self.service = ServiceStandIn()
        self._cores: list[Core] = []
        self._sidecars: list[Sidecar] = []
        self._gateway: Gateway | None = None

    @property
    def port(self) -> int:
        """Return the HTTP port of the gateway."""
        assert self._gateway is not None
        return self._gateway.port

    @property
    def settings(self) -> Settings:
        """Return the settings, with the default keys of the trial filled in."""
        return self._settings

    def _start_core(self, name: str, own_target: TargetName | None) -> Core:
        core = make_core(
            self._settings,
            name=name,
            own_target=own_target,
            context=self._context,
            platform=self._platform,
        )
        self._cores.append(core)
        core.start()
        return core

    async def start(self) -> None:
        """Start the stand-ins, the sidecars and the gateway."""
        self.engine.start()
        self.service.start()
        addresses = {}
        for name in (TargetName("engine-1"), TargetName("tools-1")):
            sidecar = Sidecar(
                core=self._start_core(f"sidecar {name}", name), target=name
            )
            addresses[name] = sidecar.bind()
            self._sidecars.append(sidecar)
        core = self._start_core("gateway", None)
        await self._publish_documents(core, addresses)
        await asyncio.gather(*(sidecar.start() for sidecar in self._sidecars))
        self._gateway = Gateway(core=core, rng=random.Random())
        await self._gateway.start()

    async def _publish_documents(
        self, core: Core, addresses: dict[TargetName, str]
    ) -> None:
        documents = trial_documents(
            self._settings,
            engine_url=self.engine.url,
            service_url=self.service.url,
            addresses=addresses,
        )
        publication = Publication(
            id=RecordId(new_id("publication")),
            author="standalone",
            changes=[
                Change(
                    key=document.key,
                    base=0,
                    document=document.model_dump(mode="json", exclude_none=True),
                )
                for document in parse_documents(documents)
            ],
        )
        verdict = await core.config_follower.publish(publication)
        if isinstance(verdict, Failure) or not verdict.accepted:
            raise RuntimeError(f"the trial configuration was refused: {verdict}")

    async def stop(self) -> None:
        """Drain and stop the gateway and the sidecars, then the stand-ins."""
        if self._gateway is not None:
            await self._gateway.stop()
            self._gateway.close()
        for sidecar in self._sidecars:
            await sidecar.stop()
            sidecar.close()
        for core in self._cores:
            core.close()
        self.engine.stop()
        self.service.stop()
        self._context.destroy(linger=0)


def trial_documents(
    settings: Settings,
    *,
    engine_url: str,
    service_url: str,
    addresses: dict[TargetName, str],
) -> list[Any]:
    """Return the configuration documents of the trial."""
    location = {"host": settings.host, "data_centre": settings.data_centre}
    workspaces = sorted({caller.workspace for caller in settings.callers})
    documents: list[Any] = [
        {
            "kind": "Target",
            "name": "engine-1",
            "labels": {"type": "engine"},
            "spec": {
                "type": "engine",
                "model": TRIAL_MODEL,
                "url": engine_url,
                "address": addresses[TargetName("engine-1")],
                **location,
            },
        },
        {
            "kind": "Target",
            "name": "tools-1",
            "labels": {"type": "service"},
            "spec": {
                "type": "service",
                "service": "tools",
                "url": service_url,
                "address": addresses[TargetName("tools-1")],
                **location,
            },
        },
    ]
    for workspace in workspaces:
        documents.append(
            {
                "kind": "Program",
                "name": f"{workspace.lower()}-chat",
                "labels": {"workspace": workspace},
                "spec": {
                    "workspace": workspace,
                    "model": TRIAL_MODEL,
                    "services": ["tools"],
                },
            }
        )
    return documents


async def run_standalone(settings: Settings, stopped: asyncio.Event) -> None:
    """Run a standalone system until `stopped` is set."""
    system = Standalone(settings=settings)
    await system.start()
    log.info(
        "Standalone system is listening on http://{}:{}.",
        settings.http.address,
        system.port,
    )
    await stopped.wait()
    await system.stop()
