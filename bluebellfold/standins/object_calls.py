"""Handle the calls to the platform's object store."""

import asyncio
import contextlib
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web

from bluebellfold.core import Registry, Sentinel
from bluebellfold.platform import MISSING_OBJECT
from bluebellfold.standins.object_store import (
    TOO_LARGE,
    Fields,
    ObjectStore,
)

LOSE_RESPONSES = 'lose_answers'
STALE_READS = 'stale_reads'
MS_PER_SECOND = 1000

WRITE = 'write'
WRITES = frozenset(('POST', 'PUT', 'DELETE'))

calls: Registry[str, Any] = Registry(name='calls of the store')


class FaultyStore(Protocol):
    """Define the object store and its faults for the call handlers."""

    store: ObjectStore

    def fault(self, name: str) -> Any:
        """Return the setting of a fault, or None."""

    def consume_fault(self, name: str) -> bool:
        """Return whether a counted fault occurs, and decrement its counter."""

    def raise_if_refusing(self) -> None:
        """Raise HTTPServiceUnavailable if the platform refuses calls."""


def call_kind(request: web.Request) -> str:
    """Return the kind of call that a request makes."""
    if request.method in WRITES:
        return request.method
    if 'Watch' in request.query:
        return 'watch'
    return 'read' if 'name' in request.match_info else 'list'


@calls.add('list')
async def _list(standin: FaultyStore, request: web.Request) -> web.Response:
    return web.json_response(
        {
            'items': standin.store.list_kind(request.match_info['kind']),
            'HasMore': False,
            'StoreRevision': standin.store.revision,
        }
    )


@calls.add('read')
async def _read(standin: FaultyStore, request: web.Request) -> web.Response:
    kind, name = request.match_info['kind'], request.match_info['name']
    if standin.fault(STALE_READS):
        return _object_response(standin.store.read_stale(kind, name))
    return _object_response(standin.store.read(kind, name))


@calls.add('watch')
async def _watch(standin: FaultyStore, request: web.Request) -> web.Response:
    kind = request.match_info['kind']
    after = int(request.query['Watch'])
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(
            int(request.query['WaitMs']) / MS_PER_SECOND
        ):
            await _wait_for_events(standin, kind, after)
    if standin.store.is_history_gone(after):
        return web.json_response({}, status=HTTPStatus.GONE)
    events = standin.store.events_since(kind, after)
    revision = standin.store.revision
    if standin.fault(STALE_READS):
        # What is behind has not reached the current revision: the next watch
        # starts from here, so that no change is lost.
        revision = after
        events = [
            {'Object': standin.store.read_stale(kind, name), 'Deleted': False}
            for name in standin.store.names(kind)
        ]
    return web.json_response({'events': events, 'StoreRevision': revision})


@calls.add('POST')
async def _create(standin: FaultyStore, request: web.Request) -> web.Response:
    body = await request.json()
    return _write_response(
        standin,
        request,
        standin.store.create(
            request.match_info['kind'], body['meta']['Name'], body['spec']
        ),
    )


@calls.add('PUT')
async def _replace(standin: FaultyStore, request: web.Request) -> web.Response:
    body = await request.json()
    return _write_response(
        standin,
        request,
        standin.store.replace(
            request.match_info['kind'],
            request.match_info['name'],
            body['spec'],
            revision=body['meta']['Revision'],
        ),
    )


@calls.add('DELETE')
async def _delete(standin: FaultyStore, request: web.Request) -> web.Response:
    return _write_response(
        standin,
        request,
        standin.store.delete(
            request.match_info['kind'],
            request.match_info['name'],
            revision=int(request.query['Revision']),
        ),
    )


async def _wait_for_events(standin: FaultyStore, kind: str, after: int) -> None:
    while not _can_respond(standin, kind, after):
        await standin.store.wait_for_change()
        standin.raise_if_refusing()


def _can_respond(standin: FaultyStore, kind: str, after: int) -> bool:
    if standin.fault(STALE_READS) or standin.store.is_history_gone(after):
        return True
    return bool(standin.store.events_since(kind, after))


def _write_response(
    standin: FaultyStore, request: web.Request, outcome: Fields | Sentinel
) -> web.Response:
    # A held write is executed after its connection has ended.
    if request.transport is not None and standin.consume_fault(LOSE_RESPONSES):
        request.transport.abort()
    if outcome is TOO_LARGE:
        return web.Response(status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
    return _object_response(outcome)


def _object_response(found: Fields | Sentinel) -> web.Response:
    if found:
        return web.json_response(found)
    missing = found is MISSING_OBJECT
    status = HTTPStatus.NOT_FOUND if missing else HTTPStatus.CONFLICT
    return web.json_response({}, status=status)
