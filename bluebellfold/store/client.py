"""Read, write and watch versioned texts in the platform's store."""

import asyncio
from collections import deque

from bluebellfold.core import Endpoint, Sentinel
from bluebellfold.core.backoff import Backoff
from bluebellfold.core.platform_errors import (
    PlatformResponseError,
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
from bluebellfold.store.write_outcome import CONFLICT, PENDING, resolve_write

CALL_TIMEOUT_SECONDS = 1.0
MAX_ATTEMPTS = 3
# Limits the remembered operations whose response was lost. A retry of an older
# operation may return CONFLICT although the first attempt took effect; the
# object must then be read again.
MAX_UNRESOLVED_OPERATIONS = 16
# The store limits an object to 1,048,576 bytes, including the history.
MAX_TEXT_BYTES = 1_000_000
# Each text has a kind of its own, so that a watch reports only its changes.
KIND_PREFIX = 'bluebellfold-text-'
OBJECT_NAME = 'text'

UNCHANGED = Sentinel(
    name='unchanged',
    reason='no newer version was written during the watch',
)


class ObjectClient:
    """Read and write versioned texts, with retries and compare-and-set.

    ``read`` and ``write`` make up to MAX_ATTEMPTS attempts and double the
    timeout each time; ``watch`` and ``history`` make one attempt. They raise
    PlatformUnavailableError if no attempt gets a response, and
    PlatformResponseError for a response that a retry would not change.
    """

    __slots__ = (
        '_backoff',
        '_newest',
        '_client',
        '_timeout_seconds',
        '_unresolved',
        '_watch_revisions',
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
        self._newest: dict[str, TextVersions] = {}
        self._watch_revisions: dict[str, int] = {}
        self._unresolved: deque[str] = deque(maxlen=MAX_UNRESOLVED_OPERATIONS)

    @property
    def backoff(self) -> Backoff:
        """Return the backoff between retries."""
        return self._backoff

    @property
    def timeout_seconds(self) -> float:
        """Return the timeout of the first attempt, in seconds."""
        return self._timeout_seconds

    async def read(self, name: str) -> StoredText | Sentinel:
        """Return the stored text or MISSING_OBJECT."""
        attempt = 0
        while True:
            try:
                found = await self._read(
                    name, self._attempt_timeout_seconds(attempt)
                )
            except PlatformUnavailableError:
                attempt += 1
                if attempt == MAX_ATTEMPTS:
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
        """Return the text as written, CONFLICT or OUTCOME_UNKNOWN.

        ``operation`` is unique to the write. If a response is lost, the
        history of the text shows whether the write took effect. After an
        error, retry with the same operation.
        """
        if len(text.encode()) > MAX_TEXT_BYTES:
            raise PlatformResponseError(
                problem=f'{name} exceeds the size limit of the platform',
                remedy='keep each text under a megabyte, or split it',
            )
        write = ObjectWrite(
            name=name,
            text=text,
            expected_version=expected_version,
            operation=operation,
        )
        attempt = 0
        while attempt < MAX_ATTEMPTS:
            outcome = await self._attempt_write(
                write, self._attempt_timeout_seconds(attempt)
            )
            if outcome is not PENDING:
                return outcome
            await asyncio.sleep(self._backoff.delay_seconds(attempt))
            attempt += 1
        raise PlatformUnavailableError(
            problem=f'cannot determine whether {name} was written',
            remedy='repeat the same operation when the platform responds',
        )

    async def watch(
        self,
        *,
        name: str,
        after_version: int,
        wait_seconds: float,
        timeout_seconds: float | None = None,
    ) -> StoredText | Sentinel:
        """Return the text when its version is greater, or UNCHANGED.

        ``timeout_seconds`` is the time for the response beyond the wait.
        """
        response_timeout_seconds = timeout_seconds or self._timeout_seconds
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while True:
            remaining = max(0, deadline - loop.time())
            found = await self._watch_once(
                name, remaining, response_timeout_seconds
            )
            if found and found.version > after_version:
                return found.newest
            if not found or loop.time() >= deadline:
                return UNCHANGED

    async def history(self, name: str) -> tuple[HistoryEntry, ...]:
        """Return the recent versions of the text, newest last."""
        found = await self._read(name, self._timeout_seconds)
        return found.history if found else ()

    def close(self) -> None:
        """Close the connection to the platform."""
        self._client.close()

    async def _attempt_write(
        self, write: ObjectWrite, timeout_seconds: float
    ) -> StoredText | Sentinel:
        try:
            written = await self._send(write, timeout_seconds)
        except PlatformUnavailableError:
            self._unresolved.append(write.operation)
            return await self._resolve(write, timeout_seconds)
        if written is not REVISION_CONFLICT:
            return self._record_version(write.name, written).newest
        if write.operation in self._unresolved:
            return await self._resolve(write, timeout_seconds)
        return CONFLICT

    async def _send(
        self, write: ObjectWrite, timeout_seconds: float
    ) -> StoredObject | Sentinel:
        """Return the object as written, or REVISION_CONFLICT."""
        kind = _object_kind(write.name)
        if not write.expected_version:
            return await self._client.create(
                kind,
                OBJECT_NAME,
                TextVersions.from_first_write(write).spec(),
                timeout_seconds=timeout_seconds,
            )
        newest = self._newest.get(write.name)
        if newest is None or newest.version < write.expected_version:
            newest = await self._read(write.name, timeout_seconds)
        if not newest or newest.version != write.expected_version:
            return REVISION_CONFLICT
        written = await self._client.replace(
            kind,
            StoredObject(
                name=OBJECT_NAME,
                revision=newest.revision,
                spec=newest.with_write(write).spec(),
            ),
            timeout_seconds=timeout_seconds,
        )
        return REVISION_CONFLICT if written is MISSING_OBJECT else written

    async def _resolve(
        self, write: ObjectWrite, timeout_seconds: float
    ) -> StoredText | Sentinel:
        try:
            found = await self._read(write.name, timeout_seconds)
        except PlatformUnavailableError:
            return PENDING
        return resolve_write(
            write=write, history=found.history if found else ()
        )

    async def _read(
        self, name: str, timeout_seconds: float
    ) -> TextVersions | Sentinel:
        stored = await self._client.read(
            _object_kind(name), OBJECT_NAME, timeout_seconds=timeout_seconds
        )
        return self._record_version(name, stored) if stored else stored

    async def _watch_once(
        self, name: str, wait_seconds: float, timeout_seconds: float
    ) -> TextVersions | None:
        changes = await self._client.watch(
            _object_kind(name),
            revision=self._watch_revisions.get(name, 0),
            wait_seconds=wait_seconds,
            timeout_seconds=timeout_seconds,
        )
        if changes is HISTORY_GONE:
            changes = await self._client.list_objects(
                _object_kind(name), timeout_seconds=timeout_seconds
            )
        return self._process_changes(name, changes)

    def _process_changes(
        self, name: str, changes: Changes
    ) -> TextVersions | None:
        self._watch_revisions[name] = max(
            changes.position.revision, self._watch_revisions.get(name, 0)
        )
        existing = [change for change in changes.changes if not change.deleted]
        return (
            self._record_version(name, existing[-1].stored)
            if existing
            else None
        )

    def _record_version(self, name: str, stored: StoredObject) -> TextVersions:
        found = decode_versions(name, stored)
        newest = self._newest.get(name)
        if newest is None or newest.revision < found.revision:
            self._newest[name] = found
        # Skip watch events up to a revision that was already read.
        self._watch_revisions[name] = max(
            found.revision, self._watch_revisions.get(name, 0)
        )
        return found

    def _attempt_timeout_seconds(self, attempt: int) -> float:
        return self._timeout_seconds * 2**attempt


def _object_kind(name: str) -> str:
    return KIND_PREFIX + name.replace('/', '.')
