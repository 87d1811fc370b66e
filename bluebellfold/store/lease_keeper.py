"""Hold a lease in the object that it protects."""

import asyncio
from functools import partial
from uuid import uuid4

from bluebellfold.core import Clock, Sentinel
from bluebellfold.platform import MISSING_OBJECT
from bluebellfold.store.client import ObjectClient
from bluebellfold.core.platform_errors import RowConflictError
from bluebellfold.store.lease import (
    LAPSED,
    Lease,
    Sighting,
    claim,
    is_usable,
    sight,
)
from bluebellfold.store.messages import StoredText
from bluebellfold.store.row_changes import Row, merge, remove
from bluebellfold.store.row_codec import (
    decode_rows,
    encode_lease,
    encode_rows,
    find_lease,
)
from bluebellfold.store.rows import RETRIED, RowChange

LEASE_WRITE_ATTEMPTS = 5


class LeaseKeeper:
    """Acquire, renew and use a lease on one shared object.

    The lease is a row of the object whose other rows it protects. Taking it
    over gives the object a new version, so that a write which a paused
    holder had prepared fails in the platform, whatever its clock says.
    """

    __slots__ = (
        '_claimed_at',
        '_client',
        '_clock',
        '_current',
        '_duration_seconds',
        '_holder',
        '_lease',
        '_name',
        '_sighting',
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
        self._claimed_at = clock.now()
        self._lease: Lease | None = None
        self._sighting: Sighting | None = None
        self._current: StoredText | Sentinel = MISSING_OBJECT

    async def acquire(self) -> Lease | Sentinel:
        """Return the lease, new or renewed, or HELD or CONFLICT."""
        await self._read()
        now = self._clock.now()
        claimed = claim(
            sighting=self._sighting,
            holder=self._holder,
            duration_seconds=self._duration_seconds,
            now=now,
        )
        if isinstance(claimed, Sentinel):
            return claimed
        outcome = await self._put((encode_lease(claimed),))
        if not outcome:
            return outcome
        self._lease = claimed
        self._claimed_at = now
        return claimed

    async def write(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        """Return the object with the rows, or LAPSED or NOTHING_NEWER.

        Raises RowConflictError when other rows changed too often.
        """
        return await self._change(partial(merge, changes=rows))

    async def remove(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        """Return the object without the rows, or LAPSED or NOTHING_NEWER.

        Rows that have changed stay. Raises as ``write`` does.
        """
        return await self._change(partial(remove, removed=rows))

    async def release(self) -> None:
        """Give the lease back at once, if it is still held."""
        if self._lease is None:
            return
        ended = self._lease.replace(
            renewal=self._lease.renewal + 1,
            duration_seconds=0,
        )
        await self.write((encode_lease(ended),))
        self._lease = None

    async def _change(self, change: RowChange) -> StoredText | Sentinel:
        attempt = 0
        while attempt < LEASE_WRITE_ATTEMPTS:
            if not self._usable():
                return LAPSED
            outcome = await self._attempt(change)
            if outcome not in RETRIED:
                return outcome
            await asyncio.sleep(self._client.backoff.delay_seconds(attempt))
            attempt += 1
            await self._read()
        raise RowConflictError(
            problem=f'{self._name} changed at each of {attempt} attempts',
            remedy='renew the lease and try again',
        )

    def _usable(self) -> bool:
        return self._lease is not None and is_usable(
            lease=self._lease,
            claimed_at=self._claimed_at,
            now=self._clock.now(),
        )

    async def _read(self) -> None:
        self._current = await self._client.read(self._name)
        stored = find_lease(self._rows())
        self._sighting = sight(
            known=self._sighting,
            lease=stored,
            now=self._clock.now(),
        )
        if stored != self._lease:
            self._lease = None

    async def _put(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        return await self._attempt(partial(merge, changes=rows))

    async def _attempt(self, change: RowChange) -> StoredText | Sentinel:
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
