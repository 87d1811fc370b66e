"""Run the tasks of a process that relays packets."""

import asyncio
import logging
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Protocol

from bluebellfold.collectors import (
    CollectorSettings,
    LineWriter,
    note,
    start_logging,
)
from bluebellfold.core import (
    Actor,
    BluebellfoldError,
    Message,
    SettingsError,
    Stop,
)
from bluebellfold.relay.operators import (
    AgentSettings,
    BalancerSettings,
    RelayProcess,
)

RelaySettings = AgentSettings | BalancerSettings
SETTINGS_VARIABLE = 'BLUEBELLFOLD_SETTINGS'
SUCCEEDED = 0
FAILED = 1
SETTINGS_WRONG = 2

_log = logging.getLogger(__name__)


class Server(Protocol):
    """Answer calls while the process runs."""

    async def start(self) -> None:
        """Listen, or raise OSError."""

    def close(self) -> None:
        """Stop listening."""


class RelayRunner:
    """Start a front with its helpers, and end when the front ends."""

    __slots__ = ('_front', '_helpers', '_on_stop', '_reload', '_servers')

    def __init__(
        self,
        *,
        front: Actor,
        helpers: tuple[Actor, ...],
        servers: tuple[Server, ...],
        on_stop: Message,
        reload: Callable[[], None],
    ) -> None:
        self._front = front
        self._helpers = helpers
        self._servers = servers
        self._on_stop = on_stop
        self._reload = reload

    async def run(self) -> None:
        """Run until the front ends."""
        self._take_signals()
        serving = asyncio.create_task(self._front.run(), name='front')
        helping = [
            asyncio.create_task(helper.run(), name=helper.name)
            for helper in self._helpers
        ]
        await asyncio.gather(*(server.start() for server in self._servers))
        note(_log, 'BBF0003')
        await serving
        for server in self._servers:
            server.close()
        for helper in self._helpers:
            helper.tell(Stop())
        await asyncio.gather(*helping, return_exceptions=True)

    def _take_signals(self) -> None:
        # A second signal finds the stop under way and changes nothing.
        loop = asyncio.get_running_loop()
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                stop_signal, self._front.tell, self._on_stop
            )
        loop.add_signal_handler(signal.SIGHUP, self._reload)


def run_relay(
    *, process: RelayProcess, role: str, serve: Callable[[], Awaitable[None]]
) -> int:
    """Run a role until it ends, and return the exit code."""
    start_logging(
        CollectorSettings(log_level=process.log_level),
        process=process.name,
        stream=LineWriter(),
    )
    note(_log, 'BBF0101', role=role, zone=process.zone)
    try:
        asyncio.run(serve())
    except (BluebellfoldError, OSError) as error:
        note(
            _log,
            'BBF0104',
            problem=str(error),
            remedy='check the addresses of the settings',
        )
        return FAILED
    note(_log, 'BBF0102', role=role)
    return SUCCEEDED


def reload_settings(
    load: Callable[[], RelaySettings], *, in_use: RelaySettings
) -> None:
    """Read the settings again, and put the log level of them in force."""
    try:
        loaded = load()
    except SettingsError as error:
        note(_log, 'BBF0736', problem=error.problem, remedy=error.remedy)
        return
    logging.getLogger().setLevel(loaded.process.log_level.upper())
    note(_log, 'BBF0735', changed=loaded != in_use)


def complain(error: BluebellfoldError) -> int:
    """Write what is wrong with the settings, and return the exit code."""
    sys.stderr.write(f'bluebellfold: {error}\n')
    return SETTINGS_WRONG
