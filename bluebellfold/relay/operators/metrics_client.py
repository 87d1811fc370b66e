"""Fetch the metrics pages of many processes at a time."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus

from bluebellfold.core import BluebellfoldError, Endpoint, Record, read_only
from bluebellfold.core.http_client import ClientRequest, HttpClient
from bluebellfold.relay.collectors.status_server import METRICS_PATH
from bluebellfold.relay.operators.process_state import (
    ProcessState,
    read_state,
)
from bluebellfold.relay.operators.progress import Progress

# An idle process answers in milliseconds. One that is stopped or cut off never
# does, and an operator waits.
FETCH_TIMEOUT_SECONDS = 2.0
# Limits the open sockets, and the load of the operator's machine.
MAX_CONCURRENT_FETCHES = 64
# A page has about 5 kB; another program at the address may send anything.
MAX_PAGE_BYTES = 1024 * 1024


class FetchFailure(Record):
    """Name a process whose state is unknown, and the reason."""

    __slots__ = ('_endpoint', '_reason')

    endpoint: Endpoint = read_only('_endpoint')
    reason: str = read_only('_reason')

    def __init__(self, *, endpoint: Endpoint, reason: str) -> None:
        self._endpoint = endpoint
        self._reason = reason


class MetricsClient:
    """Fetch the states of processes, a limited number at a time."""

    __slots__ = ('_progress', '_semaphore')

    def __init__(self, *, progress: Progress) -> None:
        self._progress = progress
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)

    async def fetch_all(
        self, endpoints: Iterable[Endpoint]
    ) -> list[ProcessState | FetchFailure]:
        """Return the state of each process, or why it is unknown."""
        listed = tuple(endpoints)
        self._progress.start('reading metrics', len(listed))
        try:
            return await asyncio.gather(*map(self._fetch, listed))
        finally:
            self._progress.finish()

    async def _fetch(self, endpoint: Endpoint) -> ProcessState | FetchFailure:
        async with self._semaphore:
            client = HttpClient(endpoint=endpoint)
            try:
                return await _read_page(client, endpoint)
            except BluebellfoldError as error:
                return FetchFailure(endpoint=endpoint, reason=error.problem)
            finally:
                client.close()
                self._progress.advance(1)


async def _read_page(
    client: HttpClient, endpoint: Endpoint
) -> ProcessState | FetchFailure:
    response = await client.send_request(
        ClientRequest(method='GET', target=METRICS_PATH),
        timeout_seconds=FETCH_TIMEOUT_SECONDS,
        max_body_bytes=MAX_PAGE_BYTES,
    )
    if response.status != HTTPStatus.OK:
        return FetchFailure(
            endpoint=endpoint,
            reason=f'the server at {endpoint} responded with {response.status}',
        )
    return read_state(endpoint, response.body.decode(errors='replace'))
