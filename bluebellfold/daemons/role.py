"""Do what the tasks of all roles do with configurations and members."""

import asyncio
import logging

from bluebellfold.balancers import (
    ConfigurationReceived,
    DepartedEndpoints,
    ExchangeTask,
    MembersChanged,
    MergeMembers,
    PublishConfiguration,
    endpoint_owners,
    tombstone,
)
from bluebellfold.collectors import note
from bluebellfold.core import (
    Actor,
    Clock,
    Member,
    Message,
    Process,
    Registry,
    Reply,
    SettingsError,
    Stop,
    read_only,
)
from bluebellfold.operators import (
    Drain,
    Keys,
    SiteSettings,
    load_process,
    load_process_files,
    parse_settings,
)
from bluebellfold.store import (
    ConfigurationChanged,
    ConfigurationTask,
    MembersRead,
    MembersRemoved,
    OfferConfiguration,
)

SERVING_STATE = 'serving'
DRAINING_STATE = 'draining'

_log = logging.getLogger(__name__)


class Wire(Message):
    """Tell a role's task the tasks that it works with."""

    __slots__ = ('_configurations', '_exchange')

    configurations: ConfigurationTask = read_only('_configurations')
    exchange: ExchangeTask = read_only('_exchange')

    def __init__(
        self,
        *,
        exchange: ExchangeTask,
        configurations: ConfigurationTask,
    ) -> None:
        self._exchange = exchange
        self._configurations = configurations


class ReloadFiles(Message):
    """Ask a role's task to read its key and certificate files again."""

    __slots__ = ()


class Terminate(Message):
    """Ask a role's task to drain as its configuration says."""

    __slots__ = ()


class RoleTask(Actor):
    """Hold what a process has in force, and pass changes on.

    A subclass says in ``adopt``, ``adopt_keys`` and ``adopt_members`` what
    it does with them.
    """

    reactions = Registry(name='reactions of a role')

    def __init__(
        self,
        *,
        settings: SiteSettings,
        process: Process,
        clock: Clock,
    ) -> None:
        super().__init__(name=process.name)
        self._settings = settings
        self._process = process
        self._clock = clock
        self._version = 0
        self._members: tuple[Member, ...] = ()
        self._departed = DepartedEndpoints()
        self._state = SERVING_STATE
        self._failure: BaseException | None = None
        self._exchange: ExchangeTask | None = None
        self._configurations: ConfigurationTask | None = None

    @property
    def failure(self) -> BaseException | None:
        """Return the error that ended the process, if one did."""
        return self._failure

    def spawn_needed(self, actor: Actor) -> asyncio.Task[None]:
        """Run an actor without which the process can't serve."""
        needed = self.spawn(actor.run(), name=actor.name)
        needed.add_done_callback(self._note_end)
        return needed

    def adopt(self, settings: SiteSettings) -> None:
        """Act on settings that came into force."""
        raise NotImplementedError

    def adopt_members(self, members: tuple[Member, ...]) -> None:
        """Act on a change of the members."""
        raise NotImplementedError

    def adopt_keys(self, keys: Keys) -> None:
        """Act on key and certificate files that were read again."""
        raise NotImplementedError

    def adopt_weight(self, weight: float) -> None:
        """Act on a capacity that was read again; a balancer has none."""

    @reactions.add(Terminate)
    def _terminate(self, _message: Terminate) -> None:
        seconds = self._settings.site.drain_seconds
        self.react(Drain(deadline_seconds=seconds, reply=Reply()))

    @reactions.add(Wire)
    def _wire(self, message: Wire) -> None:
        self._exchange = message.exchange
        self._configurations = message.configurations
        note(_log, 'BBF0003')

    @reactions.add(ReloadFiles)
    def _reload(self, _message: ReloadFiles) -> None:
        try:
            self._read_files()
        except SettingsError as error:
            note(
                _log,
                'BBF0107',
                problem=error.problem,
                remedy=error.remedy,
            )

    @reactions.add(MembersChanged)
    def _change_members(self, message: MembersChanged) -> None:
        self._departed.record_changes(message.changed, before=self._members)
        self._members = endpoint_owners(message.members)
        self.adopt_members(self._members)

    @reactions.add(MembersRead)
    def _merge_members(self, message: MembersRead) -> None:
        self._exchange.tell(MergeMembers(members=message.members))

    @reactions.add(MembersRemoved)
    def _spread_removal(self, message: MembersRemoved) -> None:
        tombstones = tuple(map(tombstone, message.members))
        self._exchange.tell(MergeMembers(members=tombstones))

    @reactions.add(ConfigurationReceived)
    def _offer(self, message: ConfigurationReceived) -> None:
        self._configurations.tell(
            OfferConfiguration(configuration=message.configuration)
        )

    @reactions.add(ConfigurationChanged)
    def _change_configuration(self, message: ConfigurationChanged) -> None:
        configuration = message.configuration
        if configuration.version <= self._version:
            return
        # Peers need it whether or not this process can use it.
        self._exchange.tell(PublishConfiguration(configuration=configuration))
        try:
            settings = parse_settings(configuration.text)
        except SettingsError as error:
            note(
                _log,
                'BBF0006',
                version=configuration.version,
                problem=error.problem,
                remedy=error.remedy,
            )
            return
        self._version = configuration.version
        self._settings = settings
        self.adopt(settings)
        note(_log, 'BBF0007', version=configuration.version)

    def _read_files(self) -> None:
        process = load_process(self._process.settings_file)
        keys = load_process_files(process)
        self.adopt_keys(keys)
        self.adopt_weight(process.weight)
        note(_log, 'BBF0106', token_key=keys.token.current.number)

    def _note_end(self, ended: asyncio.Task[None]) -> None:
        if ended.cancelled() or ended.exception() is None:
            return
        self._failure = ended.exception()
        self._end_soon()

    def _end_soon(self) -> None:
        self.tell(Stop())
