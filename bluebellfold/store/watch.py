"""Watch one object of the platform for an actor."""

import asyncio
import logging

from bluebellfold.core import Actor, InboxFullError, Sentinel
from bluebellfold.store.client import ObjectClient
from bluebellfold.core.platform_errors import PlatformError
from bluebellfold.store.messages import ObjectSeen, StoredText

# A change must be seen within seconds, also when the network drops the
# watch's connection without a sign: so a watch waits no longer than this.
WATCH_WAIT_SECONDS = 2.0
# Bounds the rate of calls when many changes follow each other, and when the
# platform answers at once with what is known already.
WATCH_PAUSE_SECONDS = 0.1
# A slow platform is given twice the time after each failure, so many times.
MAX_DOUBLINGS = 3

_log = logging.getLogger(__name__)


class ObjectWatch:
    """Tell a subscriber each version of an object that the platform shows.

    ``run`` goes on until it is cancelled, also while the platform is down.
    The subscriber gets ObjectSeen messages and skips what it knows.
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
            delay = await self._turn()
            await asyncio.sleep(delay)

    async def _turn(self) -> float:
        try:
            seen = await self._watch()
        except PlatformError as error:
            return self._note_failure(error)
        self._note_answer()
        if seen:
            self._hand_on(seen)
        return WATCH_PAUSE_SECONDS

    async def _watch(self) -> StoredText | Sentinel:
        doublings = min(self._failures, MAX_DOUBLINGS)
        return await self._client.watch(
            name=self._name,
            after_version=self._after_version,
            wait_seconds=self._wait_seconds,
            timeout_seconds=self._client.timeout_seconds * 2**doublings,
        )

    def _hand_on(self, seen: StoredText) -> None:
        try:
            self._subscriber.tell(ObjectSeen(stored=seen))
        except InboxFullError:
            # The version stays unseen, so the next turn brings it again.
            _log.warning(
                'change not taken by its subscriber yet',
                extra={'event': 'BBF0300', 'object_name': self._name},
            )
            return
        self._after_version = max(self._after_version, seen.version)

    def _note_failure(self, error: PlatformError) -> float:
        if self._failures == 0:
            _log.warning(
                'platform away: %s',
                error,
                extra={'event': 'BBF0301', 'object_name': self._name},
            )
        delay = self._client.backoff.delay_seconds(self._failures)
        self._failures += 1
        return delay

    def _note_answer(self) -> None:
        if self._failures:
            _log.info(
                'platform answers again',
                extra={
                    'event': 'BBF0302',
                    'object_name': self._name,
                    'failures': self._failures,
                },
            )
        self._failures = 0
