"""Track the newest configuration from the platform and from peers."""

import asyncio
import logging

from bluebellfold.core import (
    Actor,
    Configuration,
    InboxFullError,
    Registry,
    Sentinel,
)
from bluebellfold.core.platform_errors import PlatformError
from bluebellfold.store.client import ObjectClient
from bluebellfold.store.configuration_update import (
    SAME_VERSION,
    update_configuration,
)
from bluebellfold.store.messages import (
    ConfigurationChanged,
    GetConfiguration,
    ObjectSeen,
    OfferConfiguration,
    Subscribe,
)
from bluebellfold.store.watch import WATCH_WAIT_SECONDS, ObjectWatch

# Delay before a notification that met a full inbox is retried.
NOTIFY_RETRY_SECONDS = 0.1

_log = logging.getLogger(__name__)


def configuration_object_name(site: str) -> str:
    """Return the name of the object with a site's configuration."""
    return f'configuration/{site}'


class ConfigurationTask(Actor):
    """Update to newer configurations only, and notify the subscribers.

    ``initial`` is the configuration from the files of the process. If
    ``watches`` is false, the task reads the platform once at the start and
    then depends on offers from peers. Closes the client.
    """

    reactions = Registry(name='reactions of the configuration task')

    def __init__(
        self,
        *,
        site: str,
        client: ObjectClient,
        initial: Configuration,
        subscribers: tuple[Actor, ...] = (),
        watches: bool = True,
        wait_seconds: float = WATCH_WAIT_SECONDS,
    ) -> None:
        super().__init__(name='configuration')
        self._object_name = configuration_object_name(site)
        self._client = client
        self._in_force = initial
        self._subscribers = list(subscribers)
        self._retrying: set[Actor] = set()
        self._watches = watches
        self._wait_seconds = wait_seconds

    async def open(self) -> None:
        """Start watching the platform, or read it once."""
        if not self._watches:
            self.spawn(self._read_once(), name='read')
            return
        watch = ObjectWatch(
            client=self._client,
            name=self._object_name,
            subscriber=self,
            after_version=self._in_force.version,
            wait_seconds=self._wait_seconds,
        )
        self.spawn(watch.run(), name='watch')

    async def close(self) -> None:
        """Cancel the watch and close the client."""
        await super().close()
        self._client.close()

    @reactions.add(ObjectSeen)
    def _handle_object(self, message: ObjectSeen) -> None:
        stored = message.stored
        self._update(
            Configuration(
                version=stored.version,
                operation=stored.operation,
                text=stored.text,
            ),
            source='platform',
        )

    @reactions.add(OfferConfiguration)
    def _handle_offer(self, message: OfferConfiguration) -> None:
        self._update(message.configuration, source='peer')

    @reactions.add(GetConfiguration)
    def _handle_get(self, message: GetConfiguration) -> None:
        message.reply.put(self._in_force)

    @reactions.add(Subscribe)
    def _subscribe(self, message: Subscribe) -> None:
        self._subscribers.append(message.subscriber)
        self._notify(message.subscriber)

    def _update(self, offered: Configuration, *, source: str) -> None:
        updated = update_configuration(in_force=self._in_force, offered=offered)
        if isinstance(updated, Sentinel):
            self._log_rejection(updated, offered, source)
            return
        self._in_force = updated
        _log.info(
            'configuration updated',
            extra={
                'event': 'BBF0303',
                'version': updated.version,
                'operation': updated.operation,
                'source': source,
            },
        )
        for subscriber in self._subscribers:
            self._notify(subscriber)

    def _log_rejection(
        self,
        reason: Sentinel,
        offered: Configuration,
        source: str,
    ) -> None:
        conflicting = reason is SAME_VERSION
        _log.log(
            logging.ERROR if conflicting else logging.DEBUG,
            'configuration not updated: %s',
            reason.reason,
            extra={
                'event': 'BBF0307' if conflicting else 'BBF0304',
                'version': offered.version,
                'operation': offered.operation,
                'operation_in_force': self._in_force.operation,
                'source': source,
            },
        )

    def _notify(self, subscriber: Actor) -> None:
        if subscriber in self._retrying or self._try_notify(subscriber):
            return
        self._retrying.add(subscriber)
        self.spawn(self._retry_notify(subscriber), name='tell-again')

    def _try_notify(self, subscriber: Actor) -> bool:
        try:
            subscriber.tell(ConfigurationChanged(configuration=self._in_force))
        except InboxFullError:
            return False
        return True

    async def _retry_notify(self, subscriber: Actor) -> None:
        while not self._try_notify(subscriber):
            await asyncio.sleep(NOTIFY_RETRY_SECONDS)
        self._retrying.discard(subscriber)

    async def _read_once(self) -> None:
        try:
            stored = await self._client.read(self._object_name)
        except PlatformError as error:
            _log.warning(
                'cannot read the configuration from the platform at start: %s',
                error,
                extra={'event': 'BBF0305'},
            )
            return
        if stored:
            self.tell(ObjectSeen(stored=stored))
