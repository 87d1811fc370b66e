"""Acquire and renew a lease that is stored in the object it protects."""

import asyncio
from functools import partial
from uuid import uuid4

from bluebellfold.core import Clock, Sentinel
from bluebellfold.core.platform_errors import RowConflictError
from bluebellfold.platform import MISSING_OBJECT
from bluebellfold.store.client import ObjectClient
from bluebellfold.store.lease import (
    LAPSED,
    Lease,
    LeaseObservation,
    is_usable,
    next_lease,
    observe,
)
from bluebellfold.store.messages import StoredText
from bluebellfold.store.row_changes import Row, merge, remove
from bluebellfold.store.row_codec import (
    decode_rows,
    encode_lease,
    encode_rows,
    find_lease,
)
from bluebellfold.store.row_writer import RETRYABLE, RowChange

MAX_LEASE_WRITE_ATTEMPTS = 5


class LeaseManager:
    """Acquire, renew and release a lease on a shared object, and write rows.

    The lease is a row of the object whose other rows it protects. A takeover
    gives the object a new version. A conditional write that a paused holder
    sends afterwards therefore fails, whatever the holder's clock shows.
    """

    __slots__ = (
        '_requested_at',
        '_client',
        '_clock',
        '_current',
        '_duration_seconds',
        '_holder',
        '_lease',
        '_name',
        '_observation',
    )

    def __init__(
        self,
        *,
        client: ObjectClient,
        clock: Clock,
        name: str,
        holder: str,
        duration_seconds: float,
    ) -> None:
        self._client = client
        self._clock = clock
        self._name = name
        self._holder = holder
        self._duration_seconds = duration_seconds
        self._requested_at = clock.now()
        self._lease: Lease | None = None
        self._observation: LeaseObservation | None = None
        self._current: StoredText | Sentinel = MISSING_OBJECT

    async def acquire(self) -> Lease | Sentinel:
        """Acquire or renew the lease.

        Returns HELD, CONFLICT or OUTCOME_UNKNOWN if that fails.
        """
        await self._read()
        now = self._clock.now()
        requested = next_lease(
            observation=self._observation,
            holder=self._holder,
            duration_seconds=self._duration_seconds,
            now=now,
        )
        if isinstance(requested, Sentinel):
            return requested
        outcome = await self._write_unchecked((encode_lease(requested),))
        if not outcome:
            return outcome
        self._lease = requested
        self._requested_at = now
        return requested

    async def write(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        """Write the rows that are newer, or return LAPSED or NOTHING_NEWER.

        Raises RowConflictError if each attempt conflicts with another write.
        """
        return await self._change(partial(merge, changes=rows))

    async def remove(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        """Remove the rows, or return LAPSED or NOTHING_NEWER.

        Keeps rows that have changed. Raises the same errors as ``write``.
        """
        return await self._change(partial(remove, removed=rows))

    async def release(self) -> None:
        """Release the lease if this process holds it."""
        if self._lease is None:
            return
        released = self._lease.replace(
            renewals=self._lease.renewals + 1,
            duration_seconds=0,
        )
        await self.write((encode_lease(released),))
        self._lease = None

    async def _change(self, change: RowChange) -> StoredText | Sentinel:
        attempt = 0
        while attempt < MAX_LEASE_WRITE_ATTEMPTS:
            if not self._holds_lease():
                return LAPSED
            outcome = await self._attempt_write(change)
            if outcome not in RETRYABLE:
                return outcome
            await asyncio.sleep(self._client.backoff.delay_seconds(attempt))
            attempt += 1
            await self._read()
        raise RowConflictError(
            problem=f'{self._name} had write conflicts in {attempt} attempts',
            remedy='renew the lease and retry',
        )

    def _holds_lease(self) -> bool:
        return self._lease is not None and is_usable(
            lease=self._lease,
            requested_at=self._requested_at,
            now=self._clock.now(),
        )

    async def _read(self) -> None:
        self._current = await self._client.read(self._name)
        stored = find_lease(self._rows())
        self._observation = observe(
            previous=self._observation,
            lease=stored,
            now=self._clock.now(),
        )
        if stored != self._lease:
            self._lease = None

    async def _write_unchecked(
        self, rows: tuple[Row, ...]
    ) -> StoredText | Sentinel:
        return await self._attempt_write(partial(merge, changes=rows))

    async def _attempt_write(self, change: RowChange) -> StoredText | Sentinel:
        changed = change(stored=self._rows())
        if isinstance(changed, Sentinel):
            return changed
        outcome = await self._client.write(
            name=self._name,
            text=encode_rows(changed),
            expected_version=self._current.version if self._current else 0,
            operation=uuid4().hex,
        )
        if outcome:
            self._current = outcome
        return outcome

    def _rows(self) -> tuple[Row, ...]:
        return decode_rows(self._current.text) if self._current else ()
