"""Run the actors and servers of a relay process."""

import asyncio
import logging
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Protocol

from bluebellfold.collectors import (
    CollectorSettings,
    LineWriter,
    log_event,
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
EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_INVALID_SETTINGS = 2

_log = logging.getLogger(__name__)


class Server(Protocol):
    """Respond to requests while the process runs."""

    async def start(self) -> None:
        """Listen, or raise OSError."""

    def close(self) -> None:
        """Stop listening."""


class RelayRunner:
    """Run a main actor, its helper actors and its servers."""

    __slots__ = (
        '_helpers',
        '_main_actor',
        '_reload',
        '_servers',
        '_stop_message',
    )

    def __init__(
        self,
        *,
        main_actor: Actor,
        helpers: tuple[Actor, ...],
        servers: tuple[Server, ...],
        stop_message: Message,
        reload: Callable[[], None],
    ) -> None:
        self._main_actor = main_actor
        self._helpers = helpers
        self._servers = servers
        self._stop_message = stop_message
        self._reload = reload

    async def run(self) -> None:
        """Run until the main actor ends, then stop the others."""
        self._install_signal_handlers()
        main_task = asyncio.create_task(self._main_actor.run(), name='front')
        helper_tasks = [
            self._main_actor.supervise(helper.run, name=helper.name)
            for helper in self._helpers
        ]
        await asyncio.gather(*(server.start() for server in self._servers))
        log_event(_log, 'BBF0003')
        await main_task
        for server in self._servers:
            server.close()
        for helper in self._helpers:
            helper.tell(Stop())
        await asyncio.gather(*helper_tasks, return_exceptions=True)

    def _install_signal_handlers(self) -> None:
        # A second signal has no effect while the stop is in progress.
        loop = asyncio.get_running_loop()
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                stop_signal, self._main_actor.tell, self._stop_message
            )
        loop.add_signal_handler(signal.SIGHUP, self._reload)


def run_relay(
    *, process: RelayProcess, role: str, run: Callable[[], Awaitable[None]]
) -> int:
    """Run a role until it ends, and return the exit code."""
    writer = LineWriter()
    start_logging(
        CollectorSettings(log_level=process.log_level),
        process=process.name,
        stream=writer,
    )
    log_event(_log, 'BBF0101', role=role, zone=process.zone)
    try:
        asyncio.run(run())
    except (BluebellfoldError, OSError) as error:
        log_event(
            _log,
            'BBF0104',
            problem=str(error),
            remedy='check the addresses in the settings',
        )
        return EXIT_FAILURE
    finally:
        writer.write_batch()
    log_event(_log, 'BBF0102', role=role)
    return EXIT_SUCCESS


def reload_settings(
    load: Callable[[], RelaySettings], *, current: RelaySettings
) -> None:
    """Reload the settings, and apply their log level."""
    try:
        loaded = load()
    except SettingsError as error:
        log_event(_log, 'BBF0736', problem=error.problem, remedy=error.remedy)
        return
    logging.getLogger().setLevel(loaded.process.log_level.upper())
    log_event(_log, 'BBF0735', changed=loaded != current)


def report_settings_error(error: BluebellfoldError) -> int:
    """Write the settings error to stderr, and return the exit code."""
    sys.stderr.write(f'bluebellfold: {error}\n')
    return EXIT_INVALID_SETTINGS
