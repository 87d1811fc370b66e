"""Run a relay balancer."""

import logging
import os
import sys
from functools import partial
from typing import Any

from bluebellfold.core import Clock, MonotonicClock, Reply, SettingsError
from bluebellfold.daemons.relaying import (
    SETTINGS_VARIABLE,
    RelayRunner,
    reload_settings,
    report_settings_error,
    run_relay,
)
from bluebellfold.platform import CONFIGURATION_KIND, EVACUATIONS_KIND
from bluebellfold.relay.balancers.copies import CopyActor
from bluebellfold.relay.callers import (
    CheckReadiness,
    ClientActor,
    LeaveRotation,
)
from bluebellfold.relay.collectors import Journal, StatusServer
from bluebellfold.relay.operators import BalancerSettings, load_balancer
from bluebellfold.relay.store import (
    AGENTS_KIND,
    AgentWatch,
    ConfigurationWatch,
    EvacuationWatch,
)

ROLE = 'balancer'

_log = logging.getLogger(__name__)


class BalancerProcess:
    """Assemble and run the actors and servers of a balancer."""

    __slots__ = (
        '_clock',
        '_copies',
        '_journal',
        '_main_actor',
        '_path',
        '_settings',
    )

    def __init__(self, *, settings: BalancerSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        self._clock: Clock = MonotonicClock()
        self._copies: CopyActor | None = None
        self._journal = Journal(logger=_log, clock=self._clock)
        self._main_actor = ClientActor(
            client_endpoint=settings.clients,
            agent_endpoint=settings.agents,
            zone=settings.process.zone,
            regions=settings.process.regions,
            clock=self._clock,
            journal=self._journal,
        )

    async def run(self) -> None:
        """Run until the main actor ends."""
        process = self._settings.process
        self._copies = self._create_copies()
        configuration = ConfigurationWatch(
            endpoint=process.store,
            actor=self._main_actor,
            copies=self._copies,
        )
        agents = AgentWatch(
            endpoint=process.store,
            actor=self._main_actor,
            copies=self._copies,
        )
        evacuations = None
        if self._reads_evacuations:
            evacuations = EvacuationWatch(
                endpoint=process.store,
                actor=self._main_actor,
                copies=self._copies,
            )
        self._main_actor.attach_watches(
            configuration=configuration, agents=agents, evacuations=evacuations
        )
        helpers = (configuration, agents, evacuations, self._copies)
        status_server = partial(
            StatusServer,
            journal=self._journal,
            is_ready=self._is_ready,
            gauges=self._gauges,
            state=self._main_actor.describe_state,
        )
        servers = [status_server(endpoint=process.readiness)]
        if process.metrics is not None:
            servers.append(status_server(endpoint=process.metrics))
        runner = RelayRunner(
            main_actor=self._main_actor,
            helpers=tuple(filter(None, helpers)),
            servers=tuple(servers),
            stop_message=LeaveRotation(),
            reload=partial(
                reload_settings,
                partial(load_balancer, self._path),
                current=self._settings,
            ),
        )
        await runner.run()

    @property
    def _reads_evacuations(self) -> bool:
        bounds = self._settings.process.bounds
        return bounds.evacuate_milliseconds is not None

    def _create_copies(self) -> CopyActor | None:
        """Return the actor of copies, None if the settings give no endpoint."""
        if self._settings.peers is None:
            return None
        kinds = [CONFIGURATION_KIND, AGENTS_KIND]
        if self._reads_evacuations:
            # After the agents, so that the log line counts those of the zone.
            kinds.append(EVACUATIONS_KIND)
        return CopyActor(
            endpoint=self._settings.peers,
            seeds=self._settings.seeds,
            kinds=tuple(kinds),
            main_actor=self._main_actor,
            clock=self._clock,
            journal=self._journal,
        )

    def _gauges(self) -> dict[str, Any]:
        gauges = self._main_actor.gauges()
        if self._copies is not None:
            gauges.update(self._copies.gauges())
        return gauges

    async def _is_ready(self) -> bool:
        reply = Reply()
        self._main_actor.tell(CheckReadiness(reply=reply))
        return await reply.wait()


def main(path: str = '') -> int:
    """Run a balancer with the settings at ``path``; return the exit code."""
    settings_path = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = load_balancer(settings_path)
    except SettingsError as error:
        return report_settings_error(error)
    process = BalancerProcess(settings=settings, path=settings_path)
    return run_relay(process=settings.process, role=ROLE, run=process.run)


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
