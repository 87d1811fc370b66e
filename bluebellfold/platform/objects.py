"""Read, write and watch objects in the platform's store."""

import json
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from bluebellfold.core import (
    NO_ERA,
    NO_POSITION,
    Endpoint,
    PlatformError,
    PlatformResponseError,
    PlatformUnavailableError,
    Sentinel,
    StorePosition,
)
from bluebellfold.core.http_client import (
    ClientRequest,
    ClientResponse,
    HttpClient,
)
from bluebellfold.platform.json_reader import (
    is_integer,
    is_text,
    read_json,
)
from bluebellfold.platform.store_era import decode_era
from bluebellfold.platform.stored_object import Change, Changes, StoredObject

OBJECTS_PATH = '/bluebellfold/objects'
# The store responds in 4 ms; after this time the response is presumed lost.
CALL_TIMEOUT_SECONDS = 1.0
MS_PER_SECOND = 1000
MAX_REVISION = 0x7FFFFFFFFFFFFFFF

HISTORY_GONE = Sentinel(
    name='history-gone',
    reason='the store no longer holds the changes since the revision',
)
MISSING_OBJECT = Sentinel(
    name='missing-object',
    reason='the store has no such object',
)
REVISION_CONFLICT = Sentinel(
    name='revision-conflict',
    reason='the object already exists, or its revision has changed',
)
_RETRYABLE_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.REQUEST_TIMEOUT),
)


class ObjectStoreClient:
    """Call the store over one persistent connection, one call at a time.

    A position has NO_ERA if the response names no readable era. The
    ``timeout_seconds`` of a method overrides that of the client.
    Every method raises PlatformUnavailableError if no response arrived or
    the store rejected the call temporarily, and PlatformResponseError for a
    response that a retry would not change. A write that raised may still
    take effect.
    """

    __slots__ = ('_timeout_seconds', '_http_client')

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._http_client = HttpClient(endpoint=endpoint)
        self._timeout_seconds = timeout_seconds

    async def list_objects(
        self, kind: str, *, timeout_seconds: float | None = None
    ) -> Changes:
        """Return all objects of a kind, and the position of the first page.

        The first watch from there returns changes made between pages. Pages of
        several eras raise PlatformUnavailableError.
        """
        listed_changes: list[Change] = []
        first_position: StorePosition | None = None
        last_name = ''
        has_more = True
        while has_more:
            query = {'after': last_name} if last_name else {}
            response = await self._get(
                _target(kind, query=query), timeout_seconds=timeout_seconds
            )
            fields = _decode_body(response)
            page = tuple(_decode_entries(fields.get('items')))
            listed_changes.extend(
                Change(stored=stored, deleted=False) for stored in page
            )
            position = _decode_position(response, fields)
            first_position = first_position or position
            _check_same_era(first_position, position)
            # A page without a readable name doesn't tell where to go on.
            has_more = bool(fields.get('HasMore')) and bool(page)
            last_name = page[-1].name if page else ''
        return Changes(
            changes=tuple(listed_changes),
            position=first_position or NO_POSITION,
        )

    async def watch(
        self,
        kind: str,
        *,
        revision: int,
        wait_seconds: float,
        timeout_seconds: float | None = None,
    ) -> Changes | Sentinel:
        """Return the changes after a revision, or HISTORY_GONE."""
        query = {
            'Watch': revision,
            'WaitMs': round(wait_seconds * MS_PER_SECOND),
        }
        response = await self._get(
            _target(kind, query=query),
            timeout_seconds=timeout_seconds,
            wait_seconds=wait_seconds,
            accepted_statuses=(HTTPStatus.GONE,),
        )
        if response.status == HTTPStatus.GONE:
            return HISTORY_GONE
        fields = _decode_body(response)
        return Changes(
            changes=tuple(_decode_events(fields.get('events'))),
            position=_decode_position(response, fields),
        )

    async def read(
        self, kind: str, name: str, *, timeout_seconds: float | None = None
    ) -> StoredObject | Sentinel:
        """Return the object, or MISSING_OBJECT."""
        response = await self._get(
            _target(kind, name),
            timeout_seconds=timeout_seconds,
            accepted_statuses=(HTTPStatus.NOT_FOUND,),
        )
        if response.status == HTTPStatus.NOT_FOUND:
            return MISSING_OBJECT
        return _decode_single(response)

    async def create(
        self,
        kind: str,
        name: str,
        spec: Any,
        *,
        timeout_seconds: float | None = None,
    ) -> StoredObject | Sentinel:
        """Return the created object, or REVISION_CONFLICT if it exists."""
        response = await self._send_request(
            ClientRequest(
                method='POST',
                target=_target(kind),
                body=_encode({'meta': {'Name': name}, 'spec': spec}),
            ),
            timeout_seconds=timeout_seconds,
            accepted_statuses=(HTTPStatus.CONFLICT,),
        )
        return _decode_written_object(response)

    async def replace(
        self,
        kind: str,
        stored: StoredObject,
        *,
        timeout_seconds: float | None = None,
    ) -> StoredObject | Sentinel:
        """Replace an object if its revision in the store is unchanged.

        Return the written object, REVISION_CONFLICT or MISSING_OBJECT.
        """
        meta = {'Name': stored.name, 'Revision': stored.revision}
        response = await self._send_request(
            ClientRequest(
                method='PUT',
                target=_target(kind, stored.name),
                body=_encode({'meta': meta, 'spec': stored.spec}),
            ),
            timeout_seconds=timeout_seconds,
            accepted_statuses=(HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND),
        )
        return _decode_written_object(response)

    async def delete(
        self,
        kind: str,
        name: str,
        revision: int,
    ) -> Sentinel | None:
        """Delete an object if it still has the given revision.

        Return None, or REVISION_CONFLICT or MISSING_OBJECT.
        """
        response = await self._send_request(
            ClientRequest(
                method='DELETE',
                target=_target(kind, name, query={'Revision': revision}),
            ),
            accepted_statuses=(HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND),
        )
        return _find_write_failure(response)

    def close(self) -> None:
        """Close the persistent connection."""
        self._http_client.close()

    async def _get(
        self,
        target: str,
        *,
        timeout_seconds: float | None = None,
        wait_seconds: float = 0,
        accepted_statuses: tuple[int, ...] = (),
    ) -> ClientResponse:
        return await self._send_request(
            ClientRequest(method='GET', target=target),
            timeout_seconds=timeout_seconds,
            wait_seconds=wait_seconds,
            accepted_statuses=accepted_statuses,
        )

    async def _send_request(
        self,
        request: ClientRequest,
        *,
        timeout_seconds: float | None = None,
        wait_seconds: float = 0,
        accepted_statuses: tuple[int, ...] = (),
    ) -> ClientResponse:
        response_timeout_seconds = timeout_seconds or self._timeout_seconds
        response = await self._http_client.send_request(
            request, timeout_seconds=response_timeout_seconds + wait_seconds
        )
        if response.status in accepted_statuses:
            return response
        if response.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise PlatformResponseError(
                problem='an object exceeds the size limit of the store',
                remedy='keep each object under a megabyte, or split it',
            )
        if response.status in _RETRYABLE_STATUSES:
            raise PlatformUnavailableError(
                problem=f'the store rejected a call: {response.status}',
                remedy='wait and retry; let fewer processes watch the store',
            )
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise PlatformResponseError(
                problem=f'{request.method} failed: status {response.status}',
                remedy='compare the call with the API of the store',
            )
        return response


# Base class of the errors of the store: unavailable, or unusable response.
StoreError = PlatformError


def _target(
    kind: str,
    name: str = '',
    *,
    query: dict[str, Any] | None = None,
) -> str:
    path = f'{OBJECTS_PATH}/{quote(kind)}'
    if name:
        path = f'{path}/{quote(name, safe="")}'
    return f'{path}?{urlencode(query)}' if query else path


def _encode(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()


def _decode_body(response: ClientResponse) -> dict[str, Any]:
    fields = read_json(response.body)
    if isinstance(fields, dict):
        return fields
    raise _unusable_response('the response of the store is not a JSON object')


def _decode_position(
    response: ClientResponse, fields: dict[str, Any]
) -> StorePosition:
    revision = fields.get('StoreRevision')
    if is_integer(revision, least=0, most=MAX_REVISION):
        era = decode_era(response.headers) or NO_ERA
        return StorePosition(era=era, revision=revision)
    raise _unusable_response('the response of the store has no revision')


def _check_same_era(first: StorePosition, later: StorePosition) -> None:
    if first.era == later.era:
        return
    raise PlatformUnavailableError(
        problem='the store came back from a copy while a kind was listed',
        remedy='list the kind again',
    )


def _decode_entries(entries: Any) -> Iterator[StoredObject]:
    """Decode the entries that have a name."""
    for entry in entries if isinstance(entries, list) else ():
        stored = _decode_object(entry)
        if stored is not None:
            yield stored


def _decode_events(events: Any) -> Iterator[Change]:
    """Decode the changes of entries that have a name."""
    for event in events if isinstance(events, list) else ():
        if not isinstance(event, dict):
            continue
        stored = _decode_object(event.get('Object'))
        if stored is not None:
            yield Change(stored=stored, deleted=event.get('Deleted') is True)


def _decode_object(fields: Any) -> StoredObject | None:
    """Return the object, None if it has no name.

    An object with an unreadable revision is returned without its content.
    """
    meta = fields.get('meta') if isinstance(fields, dict) else None
    if not isinstance(meta, dict):
        return None
    name = meta.get('Name')
    if not is_text(name):
        return None
    revision = meta.get('Revision')
    if not is_integer(revision, least=0, most=MAX_REVISION):
        return StoredObject(name=name, revision=0, spec=None)
    return StoredObject(name=name, revision=revision, spec=fields.get('spec'))


def _decode_single(response: ClientResponse) -> StoredObject:
    stored = _decode_object(_decode_body(response))
    if stored is None:
        raise _unusable_response('the object in the response has no name')
    return stored


def _unusable_response(problem: str) -> PlatformResponseError:
    return PlatformResponseError(
        problem=problem,
        remedy='check the address of the store in the settings',
    )


def _decode_written_object(response: ClientResponse) -> StoredObject | Sentinel:
    failure = _find_write_failure(response)
    return _decode_single(response) if failure is None else failure


def _find_write_failure(response: ClientResponse) -> Sentinel | None:
    if response.status == HTTPStatus.CONFLICT:
        return REVISION_CONFLICT
    if response.status == HTTPStatus.NOT_FOUND:
        return MISSING_OBJECT
    return None
