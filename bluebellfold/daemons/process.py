"""Run the tasks of one process until its role task ends."""

import asyncio
import logging
import random
import signal
from collections.abc import Callable, Iterable

from grpclib.server import Server

from bluebellfold.balancers import ExchangeService, ExchangeTask
from bluebellfold.collectors import log_event, open_traces
from bluebellfold.core import (
    Actor,
    Clock,
    Configuration,
    MonotonicClock,
    Process,
    Site,
    Stop,
)
from bluebellfold.daemons.process_context import ProcessContext, ProcessTasks
from bluebellfold.daemons.role import (
    AttachTasks,
    ReloadFiles,
    RoleTask,
    Terminate,
)
from bluebellfold.daemons.telemetry import metrics_tasks, telemetry_source
from bluebellfold.operators import (
    ControlService,
    Keys,
    SiteSettings,
)
from bluebellfold.store import Backoff, ConfigurationTask, ObjectClient

WATCHERS_PER_SITE = 6

_log = logging.getLogger(__name__)


class ProcessRunner:
    """Start the tasks of a process, and stop them in reverse order."""

    def __init__(
        self,
        *,
        role: RoleTask,
        settings: SiteSettings,
        process: Process,
        clock: Clock,
    ) -> None:
        self._role = role
        self._process = process
        site = settings.site
        self._exchange = ExchangeTask(
            site=site,
            process=process,
            rng=random.Random(),
            clock=clock,
            subscribers=(role,),
            configuration_sink=role,
        )
        self._configurations = ConfigurationTask(
            site=site.name,
            client=open_platform_client(site),
            initial=Configuration(
                version=0,
                operation='',
                text=settings.text,
            ),
            subscribers=(role,),
            watches=is_platform_watcher(site, process),
        )
        self._metrics_tasks = metrics_tasks(
            settings, process, status_source=role
        )
        self._server = Server(
            [
                ExchangeService(task=self._exchange, site=site.name),
                ControlService(actor=role),
            ],
        )

    async def run(self, helpers: Iterable[Actor] = ()) -> None:
        """Run until the role task ends, then stop the others."""
        self._role.tell(
            AttachTasks(
                exchange=self._exchange,
                configurations=self._configurations,
            ),
        )
        self._install_signal_handlers()
        await self._server.start(
            self._process.host,
            self._process.control_port,
        )
        actors = (
            self._exchange,
            self._configurations,
            *self._metrics_tasks,
            *helpers,
        )
        running = [
            asyncio.create_task(actor.run(), name=actor.name)
            for actor in actors
        ]
        await self._role.run()
        for actor in reversed(actors):
            actor.tell(Stop())
        await asyncio.gather(*running, return_exceptions=True)
        self._server.close()
        await self._server.wait_closed()
        if self._role.failure is not None:
            raise self._role.failure
        log_event(_log, 'BBF0004')

    def _install_signal_handlers(self) -> None:
        # A second signal has no effect while the drain is in progress.
        loop = asyncio.get_running_loop()
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                stop_signal,
                self._role.tell,
                Terminate(),
            )
        loop.add_signal_handler(
            signal.SIGHUP,
            self._role.tell,
            ReloadFiles(),
        )


def open_platform_client(site: Site) -> ObjectClient:
    """Return a client for the site's platform."""
    return ObjectClient(
        endpoint=site.platform,
        backoff=Backoff(randomness=random.Random()),
    )


def run_process(
    *,
    settings: SiteSettings,
    process: Process,
    keys: Keys,
    assemble: Callable[[ProcessContext], ProcessTasks],
) -> None:
    """Run the tasks that ``assemble`` creates until the role task ends."""
    context = ProcessContext(
        settings=settings,
        process=process,
        keys=keys,
        traces=open_traces(settings.collectors, telemetry_source(process)),
        clock=MonotonicClock(),
    )
    asyncio.run(_serve(context, assemble))


async def _serve(
    context: ProcessContext, assemble: Callable[[ProcessContext], ProcessTasks]
) -> None:
    tasks = assemble(context)
    runner = ProcessRunner(
        role=tasks.role,
        settings=context.settings,
        process=context.process,
        clock=context.clock,
    )
    try:
        await runner.run(helpers=tasks.helpers)
    finally:
        context.traces.close()


def is_platform_watcher(site: Site, process: Process) -> bool:
    """Return whether this process watches the platform.

    The platform counts every open watch, so at most WATCHERS_PER_SITE
    balancers watch it; all other processes are updated by exchange. The
    watchers are spread over the list, because the balancers of a zone may be
    adjacent in it.
    """
    step = max(1, len(site.balancers) // WATCHERS_PER_SITE)
    spread = site.balancers[::step]
    return process.control_endpoint in spread[:WATCHERS_PER_SITE]
