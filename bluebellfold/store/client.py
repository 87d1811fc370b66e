"""Read, write and watch texts in the platform's store."""

import asyncio
from collections import deque

from bluebellfold.core import Endpoint, Sentinel
from bluebellfold.core.backoff import Backoff
from bluebellfold.core.platform_errors import (
    PlatformAnswerError,
    PlatformUnavailableError,
)
from bluebellfold.platform import (
    HISTORY_GONE,
    MISSING_OBJECT,
    REVISION_CONFLICT,
    Changes,
    ObjectStoreClient,
    StoredObject,
)
from bluebellfold.store.codec import TextVersions, decode_versions
from bluebellfold.store.messages import (
    HistoryEntry,
    ObjectWrite,
    StoredText,
)
from bluebellfold.store.settlement import CONFLICT, PENDING, settle

CALL_TIMEOUT_SECONDS = 1.0
ATTEMPTS = 3
# Beyond this a repeated operation is settled by its caller, by reading.
UNCERTAIN_OPERATIONS = 16
# The store takes 1,048,576 bytes an object; the history needs some of them.
MAX_TEXT_BYTES = 1_000_000
# Each text is the only object of a kind of its own, so that a watch wakes for
# its changes alone.
KIND_PREFIX = 'bluebellfold-text-'
OBJECT_NAME = 'text'

UNCHANGED = Sentinel(
    name='unchanged',
    reason='the platform had no greater version while the watch waited',
)


class ObjectClient:
    """Keep texts in the store, with versions, and retry what was cut.

    ``read`` and ``write`` make a bounded number of attempts, each with twice
    the time of the one before, ``watch`` and ``history`` one.
    They raise PlatformUnavailableError when no attempt was answered, and
    PlatformAnswerError for an answer that a retry would not change.
    """

    __slots__ = (
        '_backoff',
        '_known',
        '_client',
        '_timeout_seconds',
        '_uncertain',
        '_watched',
    )

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        backoff: Backoff,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._client = ObjectStoreClient(endpoint=endpoint)
        self._backoff = backoff
        self._timeout_seconds = timeout_seconds
        self._known: dict[str, TextVersions] = {}
        self._watched: dict[str, int] = {}
        self._uncertain: deque[str] = deque(maxlen=UNCERTAIN_OPERATIONS)

    @property
    def backoff(self) -> Backoff:
        """Return the delays before retries."""
        return self._backoff

    @property
    def timeout_seconds(self) -> float:
        """Return how long an answer may take, in seconds."""
        return self._timeout_seconds

    async def read(self, name: str) -> StoredText | Sentinel:
        """Return the text or MISSING_OBJECT."""
        attempt = 0
        while True:
            try:
                found = await self._read(name, self._patience(attempt))
            except PlatformUnavailableError:
                attempt += 1
                if attempt == ATTEMPTS:
                    raise
            else:
                return found.newest if found else found
            await asyncio.sleep(self._backoff.delay_seconds(attempt))

    async def write(
        self,
        *,
        name: str,
        text: str,
        expected_version: int,
        operation: str,
    ) -> StoredText | Sentinel:
        """Return the text as written, CONFLICT or UNSETTLED.

        ``operation`` is unique to the write. After a lost answer the
        text's history tells whether the write took effect. When this
        raises, call it again with the same operation.
        """
        if len(text.encode()) > MAX_TEXT_BYTES:
            raise PlatformAnswerError(
                problem=f'{name} is larger than the platform takes',
                remedy='keep each text under a megabyte, or split it',
            )
        write = ObjectWrite(
            name=name,
            text=text,
            expected_version=expected_version,
            operation=operation,
        )
        attempt = 0
        while attempt < ATTEMPTS:
            outcome = await self._attempt(write, self._patience(attempt))
            if outcome is not PENDING:
                return outcome
            await asyncio.sleep(self._backoff.delay_seconds(attempt))
            attempt += 1
        raise PlatformUnavailableError(
            problem=f'it is not known whether {name} was written',
            remedy='repeat the same operation once the platform answers',
        )

    async def watch(
        self,
        *,
        name: str,
        after_version: int,
        wait_seconds: float,
        timeout_seconds: float | None = None,
    ) -> StoredText | Sentinel:
        """Return the text once its version is greater, or UNCHANGED.

        ``timeout_seconds`` is what the answer may take beyond the wait.
        """
        patience = timeout_seconds or self._timeout_seconds
        clock = asyncio.get_running_loop()
        deadline = clock.time() + wait_seconds
        while True:
            left = max(0, deadline - clock.time())
            found = await self._watch_once(name, left, patience)
            if found and found.version > after_version:
                return found.newest
            if not found or clock.time() >= deadline:
                return UNCHANGED

    async def history(self, name: str) -> tuple[HistoryEntry, ...]:
        """Return the late versions of the text, newest last."""
        found = await self._read(name, self._timeout_seconds)
        return found.history if found else ()

    def close(self) -> None:
        """Close the connection that is kept."""
        self._client.close()

    async def _attempt(
        self, write: ObjectWrite, patience: float
    ) -> StoredText | Sentinel:
        try:
            written = await self._send(write, patience)
        except PlatformUnavailableError:
            self._uncertain.append(write.operation)
            return await self._read_back(write, patience)
        if written is not REVISION_CONFLICT:
            return self._learn(write.name, written).newest
        if write.operation in self._uncertain:
            return await self._read_back(write, patience)
        return CONFLICT

    async def _send(
        self, write: ObjectWrite, patience: float
    ) -> StoredObject | Sentinel:
        """Return the object as written, or REVISION_CONFLICT."""
        kind = _kind_of(write.name)
        if not write.expected_version:
            return await self._client.create(
                kind,
                OBJECT_NAME,
                TextVersions.first(write).spec(),
                timeout_seconds=patience,
            )
        known = self._known.get(write.name)
        if known is None or known.version < write.expected_version:
            known = await self._read(write.name, patience)
        if not known or known.version != write.expected_version:
            return REVISION_CONFLICT
        written = await self._client.replace(
            kind,
            StoredObject(
                name=OBJECT_NAME,
                revision=known.revision,
                spec=known.after(write).spec(),
            ),
            timeout_seconds=patience,
        )
        return REVISION_CONFLICT if written is MISSING_OBJECT else written

    async def _read_back(
        self, write: ObjectWrite, patience: float
    ) -> StoredText | Sentinel:
        try:
            found = await self._read(write.name, patience)
        except PlatformUnavailableError:
            return PENDING
        return settle(write=write, history=found.history if found else ())

    async def _read(
        self, name: str, patience: float
    ) -> TextVersions | Sentinel:
        stored = await self._client.read(
            _kind_of(name), OBJECT_NAME, timeout_seconds=patience
        )
        return self._learn(name, stored) if stored else stored

    async def _watch_once(
        self, name: str, wait_seconds: float, patience: float
    ) -> TextVersions | None:
        changes = await self._client.watch(
            _kind_of(name),
            revision=self._watched.get(name, 0),
            wait_seconds=wait_seconds,
            timeout_seconds=patience,
        )
        if changes is HISTORY_GONE:
            changes = await self._client.list_objects(
                _kind_of(name), timeout_seconds=patience
            )
        return self._take(name, changes)

    def _take(self, name: str, changes: Changes) -> TextVersions | None:
        self._watched[name] = max(changes.revision, self._watched.get(name, 0))
        kept = [change for change in changes.changes if not change.deleted]
        return self._learn(name, kept[-1].stored) if kept else None

    def _learn(self, name: str, stored: StoredObject) -> TextVersions:
        found = decode_versions(name, stored)
        known = self._known.get(name)
        if known is None or known.revision < found.revision:
            self._known[name] = found
        # What is known needs no event any more.
        self._watched[name] = max(found.revision, self._watched.get(name, 0))
        return found

    def _patience(self, attempt: int) -> float:
        return self._timeout_seconds * 2**attempt


def _kind_of(name: str) -> str:
    return KIND_PREFIX + name.replace('/', '.')
