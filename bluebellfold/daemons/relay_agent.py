"""Run a relay agent next to an upstream."""

import logging
import os
import sys
import time
from functools import partial

from bluebellfold.core import MonotonicClock, SettingsError
from bluebellfold.daemons.relaying import (
    SETTINGS_VARIABLE,
    RelayRunner,
    reload_settings,
    report_settings_error,
    run_relay,
)
from bluebellfold.relay.agents import AgentEntry
from bluebellfold.relay.collectors import Journal, StatusServer
from bluebellfold.relay.operators import AgentSettings, load_agent
from bluebellfold.relay.store import AgentRegistrar
from bluebellfold.relay.upstreams import (
    AgentStart,
    AnnouncementServer,
    StopWhenIdle,
    UpstreamActor,
    UpstreamHealth,
    WarmupLimit,
)

ROLE = 'agent'
MS_PER_SECOND = 1000
# Time from the creation of the process until it is ready. After a power loss
# of a test system, upstreams started 0.26 to 0.38 s before their agents were
# ready. If an agent needs less than this, its creation is estimated too early,
# and an upstream that started up to the difference earlier, under a previous
# agent, counts as started after the agent.
STARTUP_MILLISECONDS = 400

_log = logging.getLogger(__name__)


class AgentProcess:
    """Assemble and run the actors and servers of an agent."""

    __slots__ = (
        '_incarnation',
        '_journal',
        '_main_actor',
        '_path',
        '_settings',
    )

    def __init__(self, *, settings: AgentSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        # Orders reports of this process after those of previous ones.
        self._incarnation = time.time_ns()
        clock = MonotonicClock()
        self._journal = Journal(logger=_log, clock=clock)
        self._main_actor = UpstreamActor(
            balancer_endpoint=settings.datagrams,
            outbound_endpoint=settings.outbound,
            upstream_endpoint=settings.upstream,
            zone=settings.process.zone,
            incarnation=self._incarnation,
            agent_start=_agent_start(clock.now()),
            health=UpstreamHealth(
                service=settings.service,
                announcement_seconds=settings.announcement_seconds,
                now=clock.now(),
            ),
            warmup=WarmupLimit(
                slack=settings.process.bounds.warmup_slack,
                overshoot=settings.process.bounds.warmup_overshoot,
                now=clock.now(),
            ),
            clock=clock,
            journal=self._journal,
        )

    async def run(self) -> None:
        """Run until the main actor ends."""
        settings = self._settings
        process = settings.process
        registrar = AgentRegistrar(
            endpoint=process.store,
            entry=AgentEntry(
                address=(settings.datagrams.host, settings.datagrams.port),
                service=settings.service,
                zone=process.zone,
            ),
            incarnation=self._incarnation,
        )
        self._main_actor.attach_registrar(registrar)
        status_server = partial(
            StatusServer,
            journal=self._journal,
            is_ready=self._is_ready,
            gauges=self._main_actor.gauges,
        )
        servers = [
            AnnouncementServer(
                endpoint=settings.announcements,
                actor=self._main_actor,
                journal=self._journal,
            ),
            status_server(endpoint=process.readiness),
        ]
        if process.metrics is not None:
            servers.append(status_server(endpoint=process.metrics))
        runner = RelayRunner(
            main_actor=self._main_actor,
            helpers=(registrar,),
            servers=tuple(servers),
            stop_message=StopWhenIdle(),
            reload=partial(
                reload_settings,
                partial(load_agent, self._path),
                current=settings,
            ),
        )
        await runner.run()
        if self._main_actor.upstream_left:
            await registrar.deregister()

    async def _is_ready(self) -> bool:
        return True


def _agent_start(now: float) -> AgentStart:
    ready_ms = round(time.time() * MS_PER_SECOND)
    return AgentStart(
        created_ms=ready_ms - STARTUP_MILLISECONDS,
        ready_ms=ready_ms,
        ready_at=now,
    )


def main(path: str = '') -> int:
    """Run an agent with the settings at ``path``; return the exit code."""
    settings_path = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = load_agent(settings_path)
    except SettingsError as error:
        return report_settings_error(error)
    process = AgentProcess(settings=settings, path=settings_path)
    return run_relay(process=settings.process, role=ROLE, run=process.run)


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
