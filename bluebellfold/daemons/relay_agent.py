"""Run an agent that relays packets beside an upstream."""

import logging
import os
import sys
import time
from functools import partial

from bluebellfold.core import MonotonicClock, SettingsError
from bluebellfold.daemons.relaying import (
    SETTINGS_VARIABLE,
    RelayRunner,
    complain,
    reload_settings,
    run_relay,
)
from bluebellfold.relay.collectors import Journal, StatusServer
from bluebellfold.relay.operators import AgentSettings, load_agent
from bluebellfold.relay.store import AgentRegistrar
from bluebellfold.relay.upstreams import (
    AgentStart,
    AnnouncementServer,
    StopWhenIdle,
    UpstreamActor,
    UpstreamHealth,
)

ROLE = 'agent'
MILLISECONDS = 1000
# From the start of the process to here: after a power loss on the bench,
# upstreams started 0.26 to 0.38 s before their agents had come so far. Where a
# process gets here sooner, an upstream that an earlier agent served for less
# than the difference is taken for younger.
BOOT_MILLISECONDS = 400

_log = logging.getLogger(__name__)


class AgentProcess:
    """Hold the parts of an agent."""

    __slots__ = ('_front', '_journal', '_path', '_settings')

    def __init__(self, *, settings: AgentSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        clock = MonotonicClock()
        self._journal = Journal(logger=_log, clock=clock)
        self._front = UpstreamActor(
            datagrams=settings.datagrams,
            outbound=settings.outbound,
            upstream=settings.upstream,
            zone=settings.process.zone,
            # Reports of an earlier start of this agent are older.
            incarnation=time.time_ns(),
            agent_start=_own_start(clock.now()),
            health=UpstreamHealth(
                service=settings.service,
                announcement_seconds=settings.announcement_seconds,
                now=clock.now(),
            ),
            clock=clock,
            journal=self._journal,
        )

    async def run(self) -> None:
        """Run until the front ends."""
        settings = self._settings
        process = settings.process
        registrar = AgentRegistrar(
            endpoint=process.store,
            address=(settings.datagrams.host, settings.datagrams.port),
        )
        serve = partial(
            StatusServer,
            journal=self._journal,
            is_ready=self._is_ready,
            gauges=self._front.gauges,
        )
        servers = [
            AnnouncementServer(
                endpoint=settings.announcements,
                actor=self._front,
                journal=self._journal,
            ),
            serve(endpoint=process.readiness),
        ]
        if process.metrics is not None:
            servers.append(serve(endpoint=process.metrics))
        runner = RelayRunner(
            front=self._front,
            helpers=(registrar,),
            servers=tuple(servers),
            on_stop=StopWhenIdle(),
            reload=partial(
                reload_settings,
                partial(load_agent, self._path),
                in_use=settings,
            ),
        )
        await runner.run()
        if self._front.upstream_ended:
            await registrar.deregister()

    async def _is_ready(self) -> bool:
        return True


def _own_start(now: float) -> AgentStart:
    running_ms = round(time.time() * MILLISECONDS)
    return AgentStart(
        created_ms=running_ms - BOOT_MILLISECONDS,
        ready_ms=running_ms,
        ready_at=now,
    )


def main(path: str = '') -> int:
    """Run an agent with the settings at a path, and return the exit code."""
    found = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = load_agent(found)
    except SettingsError as error:
        return complain(error)
    process = AgentProcess(settings=settings, path=found)
    return run_relay(process=settings.process, role=ROLE, serve=process.run)


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
