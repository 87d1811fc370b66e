"""Read, write and watch the objects of the platform's store."""

import json
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from bluebellfold.core import (
    Endpoint,
    PlatformAnswerError,
    PlatformError,
    PlatformUnavailableError,
    Sentinel,
)
from bluebellfold.core.calls import Answer, Call, Transport
from bluebellfold.platform.stored import Change, Changes, StoredObject

OBJECTS_PATH = '/bluebellfold/objects'
# The store answers in 4 ms; a call that took this long has lost its answer.
CALL_TIMEOUT_SECONDS = 1.0
MILLISECONDS = 1000

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
    reason='the object exists, or another write came first',
)
_REFUSED = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.REQUEST_TIMEOUT),
)


class ObjectStoreClient:
    """Call the store over one kept connection, one call at a time.

    ``timeout_seconds`` of a call is for that call alone.
    Every method raises PlatformUnavailableError when no answer came or the
    store turned the call away, and PlatformAnswerError for an answer that
    a retry would not change. A write that raised may still be executed.
    """

    __slots__ = ('_timeout_seconds', '_transport')

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._transport = Transport(endpoint=endpoint)
        self._timeout_seconds = timeout_seconds

    async def list_objects(
        self, kind: str, *, timeout_seconds: float | None = None
    ) -> Changes:
        """Return all objects of a kind, and the revision of the first page.

        Changes made between two pages come again with the first watch.
        """
        listed: list[Change] = []
        first_revision = 0
        after = ''
        more = True
        while more:
            query = {'after': after} if after else {}
            answer = await self._get(
                _target(kind, query=query), timeout_seconds=timeout_seconds
            )
            fields = _fields_of(answer)
            page = fields.get('items', ())
            listed.extend(
                Change(stored=_stored(shown), deleted=False) for shown in page
            )
            first_revision = first_revision or int(fields['StoreRevision'])
            more = bool(fields.get('HasMore')) and bool(page)
            after = listed[-1].stored.name if listed else ''
        return Changes(changes=tuple(listed), revision=first_revision)

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
            'WaitMs': round(wait_seconds * MILLISECONDS),
        }
        answer = await self._get(
            _target(kind, query=query),
            timeout_seconds=timeout_seconds,
            wait_seconds=wait_seconds,
            accepted=(HTTPStatus.GONE,),
        )
        if answer.status == HTTPStatus.GONE:
            return HISTORY_GONE
        fields = _fields_of(answer)
        return Changes(
            changes=tuple(map(_change_of, fields.get('events', ()))),
            revision=int(fields['StoreRevision']),
        )

    async def read(
        self, kind: str, name: str, *, timeout_seconds: float | None = None
    ) -> StoredObject | Sentinel:
        """Return the object, or MISSING_OBJECT."""
        answer = await self._get(
            _target(kind, name),
            timeout_seconds=timeout_seconds,
            accepted=(HTTPStatus.NOT_FOUND,),
        )
        if answer.status == HTTPStatus.NOT_FOUND:
            return MISSING_OBJECT
        return _stored(_fields_of(answer))

    async def create(
        self,
        kind: str,
        name: str,
        spec: Any,
        *,
        timeout_seconds: float | None = None,
    ) -> StoredObject | Sentinel:
        """Return the object as created, REVISION_CONFLICT if there is one."""
        answer = await self._call(
            Call(
                method='POST',
                target=_target(kind),
                body=_encode({'meta': {'Name': name}, 'spec': spec}),
            ),
            timeout_seconds=timeout_seconds,
            accepted=(HTTPStatus.CONFLICT,),
        )
        return _written(answer)

    async def replace(
        self,
        kind: str,
        stored: StoredObject,
        *,
        timeout_seconds: float | None = None,
    ) -> StoredObject | Sentinel:
        """Replace an object whose revision is still the one that is given.

        Return it as written, REVISION_CONFLICT or MISSING_OBJECT.
        """
        meta = {'Name': stored.name, 'Revision': stored.revision}
        answer = await self._call(
            Call(
                method='PUT',
                target=_target(kind, stored.name),
                body=_encode({'meta': meta, 'spec': stored.spec}),
            ),
            timeout_seconds=timeout_seconds,
            accepted=(HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND),
        )
        return _written(answer)

    async def delete(
        self,
        kind: str,
        name: str,
        revision: int,
    ) -> Sentinel | None:
        """Delete an object whose revision is still the one that is given."""
        answer = await self._call(
            Call(
                method='DELETE',
                target=_target(kind, name, query={'Revision': revision}),
            ),
            accepted=(HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND),
        )
        return _lost_race(answer)

    def close(self) -> None:
        """Close the connection that is kept."""
        self._transport.close()

    async def _get(
        self,
        target: str,
        *,
        timeout_seconds: float | None = None,
        wait_seconds: float = 0,
        accepted: tuple[int, ...] = (),
    ) -> Answer:
        return await self._call(
            Call(method='GET', target=target),
            timeout_seconds=timeout_seconds,
            wait_seconds=wait_seconds,
            accepted=accepted,
        )

    async def _call(
        self,
        call: Call,
        *,
        timeout_seconds: float | None = None,
        wait_seconds: float = 0,
        accepted: tuple[int, ...] = (),
    ) -> Answer:
        patience = timeout_seconds or self._timeout_seconds
        answer = await self._transport.call(
            call, timeout_seconds=patience + wait_seconds
        )
        if answer.status in accepted:
            return answer
        if answer.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise PlatformAnswerError(
                problem='an object is larger than the store takes',
                remedy='keep each object under a megabyte, or split it',
            )
        if answer.status in _REFUSED:
            raise PlatformUnavailableError(
                problem=f'the store turned a call away: {answer.status}',
                remedy='wait and retry; fewer processes may watch',
            )
        if answer.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise PlatformAnswerError(
                problem=f'{call.method} was answered with {answer.status}',
                remedy='compare the call with what the store speaks',
            )
        return answer


# What a task that uses the store handles: away, turned away, or unreadable.
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


def _fields_of(answer: Answer) -> dict[str, Any]:
    try:
        fields = json.loads(answer.body)
    except ValueError:
        fields = None
    if isinstance(fields, dict):
        return fields
    raise PlatformAnswerError(
        problem='the store sent something else than a JSON object',
        remedy='check that the settings name the address of the store',
    )


def _change_of(event: dict[str, Any]) -> Change:
    return Change(
        stored=_stored(event['Object']),
        deleted=bool(event['Deleted']),
    )


def _stored(fields: dict[str, Any]) -> StoredObject:
    meta = fields['meta']
    return StoredObject(
        name=str(meta['Name']),
        revision=int(meta['Revision']),
        spec=fields.get('spec'),
    )


def _written(answer: Answer) -> StoredObject | Sentinel:
    lost = _lost_race(answer)
    return _stored(_fields_of(answer)) if lost is None else lost


def _lost_race(answer: Answer) -> Sentinel | None:
    if answer.status == HTTPStatus.CONFLICT:
        return REVISION_CONFLICT
    if answer.status == HTTPStatus.NOT_FOUND:
        return MISSING_OBJECT
    return None
