"""Change rows of a shared object by conditional update."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any
from uuid import uuid4

from bluebellfold.core import Sentinel
from bluebellfold.store.client import ObjectClient
from bluebellfold.core.platform_errors import RowConflictError
from bluebellfold.store.messages import StoredText
from bluebellfold.store.row_changes import Row, merge, remove
from bluebellfold.store.row_codec import decode_rows, encode_rows
from bluebellfold.store.settlement import CONFLICT, UNSETTLED

ROW_ATTEMPTS = 12

RETRIED = (CONFLICT, UNSETTLED)

RowChange = Callable[..., Any]


class RowWriter:
    """Change rows of one object, each on the version that was read.

    Raises RowConflictError when other writers came first too often, and
    PlatformError as the client does.
    """

    __slots__ = ('_attempts', '_client', '_name')

    def __init__(
        self,
        *,
        client: ObjectClient,
        name: str,
        attempts: int = ROW_ATTEMPTS,
    ) -> None:
        self._client = client
        self._name = name
        self._attempts = attempts

    async def publish(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        """Put in the rows that are newer; return NOTHING_NEWER if none is."""
        return await self._change(partial(merge, changes=rows))

    async def remove(self, rows: tuple[Row, ...]) -> StoredText | Sentinel:
        """Take out the rows that are as given, or return NOTHING_NEWER."""
        return await self._change(partial(remove, removed=rows))

    async def _change(self, change: RowChange) -> StoredText | Sentinel:
        attempt = 0
        while attempt < self._attempts:
            outcome = await self._attempt(change)
            if outcome not in RETRIED:
                return outcome
            delay = self._client.backoff.delay_seconds(attempt)
            await asyncio.sleep(delay)
            attempt += 1
        raise RowConflictError(
            problem=f'{self._name} changed at each of {attempt} attempts',
            remedy='try again later, or spread the rows over more objects',
        )

    async def _attempt(self, change: RowChange) -> StoredText | Sentinel:
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
