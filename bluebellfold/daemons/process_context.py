"""Define the records for assembling the tasks of a process."""

from bluebellfold.collectors import Traces
from bluebellfold.core import Actor, Clock, Process, Record, read_only
from bluebellfold.daemons.role import RoleTask
from bluebellfold.operators import Keys, SiteSettings


class ProcessContext(Record):
    """Hold the settings, keys, traces and clock of one process."""

    __slots__ = ('_clock', '_keys', '_process', '_settings', '_traces')

    clock: Clock = read_only('_clock')
    keys: Keys = read_only('_keys')
    process: Process = read_only('_process')
    settings: SiteSettings = read_only('_settings')
    traces: Traces = read_only('_traces')

    def __init__(
        self,
        *,
        settings: SiteSettings,
        process: Process,
        keys: Keys,
        traces: Traces,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._process = process
        self._keys = keys
        self._traces = traces
        self._clock = clock


class ProcessTasks(Record):
    """Hold the role task of a process and its helper tasks."""

    __slots__ = ('_helpers', '_role')

    helpers: tuple[Actor, ...] = read_only('_helpers')
    role: RoleTask = read_only('_role')

    def __init__(
        self,
        *,
        role: RoleTask,
        helpers: tuple[Actor, ...] = (),
    ) -> None:
        self._role = role
        self._helpers = helpers
