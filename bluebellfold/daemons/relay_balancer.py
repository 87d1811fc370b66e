"""Run a balancer that relays packets."""

import logging
import os
import sys
from functools import partial

from bluebellfold.core import MonotonicClock, Reply, SettingsError
from bluebellfold.daemons.relaying import (
    SETTINGS_VARIABLE,
    RelayRunner,
    complain,
    reload_settings,
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
    """Hold the parts of a balancer."""

    __slots__ = ('_front', '_journal', '_path', '_settings')

    def __init__(self, *, settings: BalancerSettings, path: str) -> None:
        self._settings = settings
        self._path = path
        clock = MonotonicClock()
        self._journal = Journal(logger=_log, clock=clock)
        self._front = ClientActor(
            client_endpoint=settings.callers,
            agent_endpoint=settings.agents,
            zone=settings.process.zone,
            clock=clock,
            journal=self._journal,
        )

    async def run(self) -> None:
        """Run until the front ends."""
        process = self._settings.process
        configuration = ConfigurationWatch(
            endpoint=process.store, actor=self._front
        )
        agents = AgentWatch(endpoint=process.store, actor=self._front)
        self._front.attach_watches(configuration=configuration, agents=agents)
        helpers = (configuration, agents)
        serve = partial(
            StatusServer,
            journal=self._journal,
            is_ready=self._is_ready,
            gauges=self._front.gauges,
        )
        servers = [serve(endpoint=process.readiness)]
        if process.metrics is not None:
            servers.append(serve(endpoint=process.metrics))
        runner = RelayRunner(
            front=self._front,
            helpers=helpers,
            servers=tuple(servers),
            on_stop=LeaveRotation(),
            reload=partial(
                reload_settings,
                partial(load_balancer, self._path),
                in_use=self._settings,
            ),
        )
        await runner.run()

    async def _is_ready(self) -> bool:
        reply = Reply()
        self._front.tell(CheckReadiness(reply=reply))
        return await reply.wait()


def main(path: str = '') -> int:
    """Run a balancer with the settings at a path, and return the exit code."""
    found = path or os.environ.get(SETTINGS_VARIABLE, '')
    try:
        settings = load_balancer(found)
    except SettingsError as error:
        return complain(error)
    process = BalancerProcess(settings=settings, path=found)
    return run_relay(process=settings.process, role=ROLE, serve=process.run)


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
