"""Watch one object of the platform and notify an actor of changes."""

import asyncio
import logging

from bluebellfold.core import Actor, InboxFullError, Sentinel
from bluebellfold.core.platform_errors import PlatformError
from bluebellfold.store.client import ObjectClient
from bluebellfold.store.messages import ObjectSeen, StoredText

# A change must be seen within seconds, even if the network silently drops the
# connection of the watch.
WATCH_WAIT_SECONDS = 2.0
# Limits the rate of calls when changes are frequent, and when the platform
# immediately returns a version that is already known.
WATCH_PAUSE_SECONDS = 0.1
# The timeout doubles after each failure, for a slow platform, up to this limit.
MAX_TIMEOUT_DOUBLINGS = 3

_log = logging.getLogger(__name__)


class ObjectWatch:
    """Send each new version of an object to a subscriber.

    ``run`` continues until it is cancelled, also while the platform is
    unavailable. The subscriber receives ObjectSeen messages and must ignore
    versions that it already has.
    """

    __slots__ = (
        '_after_version',
        '_client',
        '_failures',
        '_name',
        '_subscriber',
        '_wait_seconds',
    )

    def __init__(
        self,
        *,
        client: ObjectClient,
        name: str,
        subscriber: Actor,
        after_version: int = 0,
        wait_seconds: float = WATCH_WAIT_SECONDS,
    ) -> None:
        self._client = client
        self._name = name
        self._subscriber = subscriber
        self._after_version = after_version
        self._wait_seconds = wait_seconds
        self._failures = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            delay = await self._poll()
            await asyncio.sleep(delay)

    async def _poll(self) -> float:
        try:
            stored = await self._watch()
        except PlatformError as error:
            return self._record_failure(error)
        self._record_success()
        if stored:
            self._deliver(stored)
        return WATCH_PAUSE_SECONDS

    async def _watch(self) -> StoredText | Sentinel:
        doublings = min(self._failures, MAX_TIMEOUT_DOUBLINGS)
        return await self._client.watch(
            name=self._name,
            after_version=self._after_version,
            wait_seconds=self._wait_seconds,
            timeout_seconds=self._client.timeout_seconds * 2**doublings,
        )

    def _deliver(self, stored: StoredText) -> None:
        try:
            self._subscriber.tell(ObjectSeen(stored=stored))
        except InboxFullError:
            # The version is not marked as seen, so the next watch returns it.
            _log.warning(
                'inbox of the subscriber is full; will send the change again',
                extra={'event': 'BBF0300', 'object_name': self._name},
            )
            return
        self._after_version = max(self._after_version, stored.version)

    def _record_failure(self, error: PlatformError) -> float:
        if self._failures == 0:
            _log.warning(
                'platform unavailable: %s',
                error,
                extra={'event': 'BBF0301', 'object_name': self._name},
            )
        delay = self._client.backoff.delay_seconds(self._failures)
        self._failures += 1
        return delay

    def _record_success(self) -> None:
        if self._failures:
            _log.info(
                'platform available again',
                extra={
                    'event': 'BBF0302',
                    'object_name': self._name,
                    'failures': self._failures,
                },
            )
        self._failures = 0
