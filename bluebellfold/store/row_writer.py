"""Write and remove rows of a shared object by compare-and-set."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any
from uuid import uuid4

from bluebellfold.core import Sentinel
from bluebellfold.core.platform_errors import RowConflictError
from bluebellfold.store.client import ObjectClient
from bluebellfold.store.messages import StoredText
from bluebellfold.store.row_changes import Row, merge, remove
from bluebellfold.store.row_codec import decode_rows, encode_rows
from bluebellfold.store.write_outcome import CONFLICT, OUTCOME_UNKNOWN

MAX_ROW_ATTEMPTS = 12

RETRYABLE = (CONFLICT, OUTCOME_UNKNOWN)

RowChange = Callable[..., Any]


class RowWriter:
    """Write and remove rows of one object by compare-and-set.

    Raises RowConflictError if each attempt conflicts with another write, and
    the same PlatformError types as the client.
    """

    __slots__ = ('_attempts', '_client', '_name')

    def __init__(
        self,
        *,
        client: ObjectClient,
        name: str,
        attempts: int = MAX_ROW_ATTEMPTS,
    ) -> None:
        self._client = client
        self._name = name
        self._attempts = attempts

    async def publish(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        """Write the rows that are newer; return NOTHING_NEWER if none is."""
        return await self._change(partial(merge, changes=rows))

    async def remove(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        """Remove the rows that are unchanged, or return NOTHING_NEWER."""
        return await self._change(partial(remove, removed=rows))

    async def _change(self, change: RowChange) -> StoredText | Sentinel:
        attempt = 0
        while attempt < self._attempts:
            outcome = await self._attempt_change(change)
            if outcome not in RETRYABLE:
                return outcome
            delay = self._client.backoff.delay_seconds(attempt)
            await asyncio.sleep(delay)
            attempt += 1
        raise RowConflictError(
            problem=f'{self._name} had write conflicts in {attempt} attempts',
            remedy='retry later, or split the rows into more objects',
        )

    async def _attempt_change(self, change: RowChange) -> StoredText | Sentinel:
        current = await self._client.read(self._name)
        rows = decode_rows(current.text) if current else ()
        changed = change(stored=rows)
        if isinstance(changed, Sentinel):
            return changed
        return await self._client.write(
            name=self._name,
            text=encode_rows(changed),
            expected_version=current.version if current else 0,
            operation=uuid4().hex,
        )
