"""Define the base class of roles: configurations, members and files."""

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
from bluebellfold.collectors import log_event
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


class AttachTasks(Message):
    """Give a role task the tasks that it communicates with."""

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
    """Request that a role task reload its key and certificate files."""

    __slots__ = ()


class Terminate(Message):
    """Request that a role task drain within the configured time."""

    __slots__ = ()


class RoleTask(Actor):
    """Hold the current configuration and members of a process.

    Subclasses react to changes in ``update_settings``, ``update_keys``,
    ``update_members`` and ``update_weight``.
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
        """Return the error that stopped the process, if any."""
        return self._failure

    def spawn_required(self, actor: Actor) -> asyncio.Task[None]:
        """Run an actor whose failure stops the process."""
        required = self.spawn(actor.run(), name=actor.name)
        required.add_done_callback(self._record_failure)
        return required

    def update_settings(self, settings: SiteSettings) -> None:
        """Apply new settings."""
        raise NotImplementedError

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Apply a change of the members."""
        raise NotImplementedError

    def update_keys(self, keys: Keys) -> None:
        """Apply reloaded key and certificate files."""
        raise NotImplementedError

    def update_weight(self, weight: float) -> None:
        """Apply a reloaded weight; a balancer ignores it."""

    @reactions.add(Terminate)
    def _handle_terminate(self, _message: Terminate) -> None:
        seconds = self._settings.site.drain_seconds
        self.handle_message(Drain(deadline_seconds=seconds, reply=Reply()))

    @reactions.add(AttachTasks)
    def _attach_tasks(self, message: AttachTasks) -> None:
        self._exchange = message.exchange
        self._configurations = message.configurations
        log_event(_log, 'BBF0003')

    @reactions.add(ReloadFiles)
    def _handle_reload_files(self, _message: ReloadFiles) -> None:
        try:
            self._reload_files()
        except SettingsError as error:
            log_event(
                _log,
                'BBF0107',
                problem=error.problem,
                remedy=error.remedy,
            )

    @reactions.add(MembersChanged)
    def _handle_members_changed(self, message: MembersChanged) -> None:
        self._departed.record_changes(message.changed, before=self._members)
        self._members = endpoint_owners(message.members)
        self.update_members(self._members)

    @reactions.add(MembersRead)
    def _handle_members_read(self, message: MembersRead) -> None:
        self._exchange.tell(MergeMembers(members=message.members))

    @reactions.add(MembersRemoved)
    def _handle_members_removed(self, message: MembersRemoved) -> None:
        tombstones = tuple(map(tombstone, message.members))
        self._exchange.tell(MergeMembers(members=tombstones))

    @reactions.add(ConfigurationReceived)
    def _offer_configuration(self, message: ConfigurationReceived) -> None:
        self._configurations.tell(
            OfferConfiguration(configuration=message.configuration)
        )

    @reactions.add(ConfigurationChanged)
    def _handle_configuration_changed(
        self, message: ConfigurationChanged
    ) -> None:
        configuration = message.configuration
        if configuration.version <= self._version:
            return
        # Peers need the configuration even if this process cannot use it.
        self._exchange.tell(PublishConfiguration(configuration=configuration))
        try:
            settings = parse_settings(configuration.text)
        except SettingsError as error:
            log_event(
                _log,
                'BBF0006',
                version=configuration.version,
                problem=error.problem,
                remedy=error.remedy,
            )
            return
        self._version = configuration.version
        self._settings = settings
        self.update_settings(settings)
        log_event(_log, 'BBF0007', version=configuration.version)

    def _reload_files(self) -> None:
        process = load_process(self._process.settings_file)
        keys = load_process_files(process)
        self.update_keys(keys)
        self.update_weight(process.weight)
        log_event(_log, 'BBF0106', token_key=keys.token.current.number)

    def _record_failure(self, ended: asyncio.Task[None]) -> None:
        if ended.cancelled() or ended.exception() is None:
            return
        self._failure = ended.exception()
        self._request_stop()

    def _request_stop(self) -> None:
        self.tell(Stop())
