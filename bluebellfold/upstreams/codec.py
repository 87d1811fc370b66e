"""Encode requests as HTTP/1.1 events, and decode responses."""

import h11

from bluebellfold.core import Endpoint
from bluebellfold.upstreams.messages import HeaderField, Request
from bluebellfold.upstreams.outcomes import NotRun, Unknown, outcome_name

DEADLINE_FIELD = 'bluebellfold-deadline-ms'
NOT_RUN_FIELD = 'bluebellfold-not-run'
OUTCOME_FIELD = 'bluebellfold-outcome'
REASON_FIELD = 'bluebellfold-reason'
MS_PER_SECOND = 1000
SHED_STATUS = 503
NO_CONTENT_STATUS = 204
NOT_MODIFIED_STATUS = 304

_BODILESS_STATUSES = frozenset((NO_CONTENT_STATUS, NOT_MODIFIED_STATUS))
_CONTENT_LENGTH = 'content-length'
_TRANSFER_ENCODING = 'transfer-encoding'
_HOST = 'host'
# Hop-by-hop fields apply to a single connection and are not forwarded.
_HOP_BY_HOP_FIELDS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        _TRANSFER_ENCODING,
        'upgrade',
    )
)
# Reserved fields are removed from requests and responses, so that no client
# or upstream can state a deadline or an outcome in the name of this system.
# ``expect`` is removed because the body is sent without waiting for status 100.
_RESERVED_FIELDS = frozenset(
    (
        DEADLINE_FIELD,
        NOT_RUN_FIELD,
        OUTCOME_FIELD,
        REASON_FIELD,
        'expect',
    ),
)


def encode_request(
    request: Request,
    *,
    endpoint: Endpoint,
    has_body: bool,
    remaining_seconds: float,
) -> h11.Request:
    """Encode the request head; raises h11.LocalProtocolError if invalid."""
    field_names = {field.name.lower() for field in request.fields}
    headers = [
        (field.name, field.text)
        for field in request.fields
        if _is_forwarded(field.name.lower())
    ]
    if _HOST not in field_names:
        headers.append((_HOST, str(endpoint)))
    if has_body and _CONTENT_LENGTH not in field_names:
        headers.append((_TRANSFER_ENCODING, 'chunked'))
    remaining_ms = max(0, int(remaining_seconds * MS_PER_SECOND))
    headers.append((DEADLINE_FIELD, str(remaining_ms)))
    return h11.Request(
        method=request.method,
        target=request.path,
        headers=headers,
    )


def decode_fields(response: h11.Response) -> tuple[HeaderField, ...]:
    """Return the response fields that are forwarded to the client."""
    fields = (
        HeaderField(name=name.decode('latin-1'), text=text.decode('latin-1'))
        for name, text in response.headers
    )
    return tuple(field for field in fields if _is_forwarded(field.name))


def states_not_run(response: h11.Response) -> bool:
    """Return whether the response states that the request did not run."""
    if response.status_code != SHED_STATUS:
        return False
    return (NOT_RUN_FIELD.encode(), b'1') in list(response.headers)


def outcome_fields(outcome: NotRun | Unknown) -> tuple[HeaderField, ...]:
    """Return the fields that give the client the outcome and its reason."""
    return (
        HeaderField(name=OUTCOME_FIELD, text=outcome_name(outcome)),
        HeaderField(name=REASON_FIELD, text=outcome.reason.name),
    )


def is_framed(method: str, response: h11.Response) -> bool:
    """Return whether a truncated response would be detected."""
    if method == 'HEAD' or response.status_code in _BODILESS_STATUSES:
        return True
    names = {name.decode('latin-1') for name, _ in response.headers}
    return _CONTENT_LENGTH in names or _TRANSFER_ENCODING in names


def _is_forwarded(name: str) -> bool:
    return name not in _HOP_BY_HOP_FIELDS and name not in _RESERVED_FIELDS
