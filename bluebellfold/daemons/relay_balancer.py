"""Run a relay balancer."""

import logging
import os
import sys
from functools import partial

from bluebellfold.core import MonotonicClock, Reply, SettingsError
from bluebellfold.daemons.relaying import (
    SETTINGS_VARIABLE,
    RelayRunner,
    reload_settings,
    report_settings_error,
    run_relay,
)
from bluebellfold.relay.callers import (
    CheckReadiness,
    ClientActor,
    LeaveRotation,
)
from bluebellfold.relay.collectors import Journal, StatusServer
from bluebellfold.relay.operators import BalancerSettings, load_balancer
from bluebellfold.relay.store import AgentWatch, ConfigurationWatch

ROLE = 'balancer'

_log = logging.getLogger(__name__)


class BalancerProcess:
    """Assemble and run the actors and servers of a balancer."""

    __slots__ = ('_journal', '_main_actor', '_path', '_settings')

    def __init__(self, *, settings: BalancerSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        clock = MonotonicClock()
        self._journal = Journal(logger=_log, clock=clock)
        self._main_actor = ClientActor(
            client_endpoint=settings.clients,
            agent_endpoint=settings.agents,
            zone=settings.process.zone,
            regions=settings.process.regions,
            clock=clock,
            journal=self._journal,
        )

    async def run(self) -> None:
        """Run until the main actor ends."""
        process = self._settings.process
        configuration = ConfigurationWatch(
            endpoint=process.store, actor=self._main_actor
        )
        agents = AgentWatch(endpoint=process.store, actor=self._main_actor)
        self._main_actor.attach_watches(
            configuration=configuration, agents=agents
        )
        helpers = (configuration, agents)
        status_server = partial(
            StatusServer,
            journal=self._journal,
            is_ready=self._is_ready,
            gauges=self._main_actor.gauges,
        )
        servers = [status_server(endpoint=process.readiness)]
        if process.metrics is not None:
            servers.append(status_server(endpoint=process.metrics))
        runner = RelayRunner(
            main_actor=self._main_actor,
            helpers=helpers,
            servers=tuple(servers),
            stop_message=LeaveRotation(),
            reload=partial(
                reload_settings,
                partial(load_balancer, self._path),
                current=self._settings,
            ),
        )
        await runner.run()

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
