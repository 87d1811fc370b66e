"""Parse an upstream's own load report, which is untrusted input."""

import json
from typing import Any

FULL_LOAD = 1.0


def parse_load_report(load_body: bytes, health_body: bytes) -> float | None:
    """Return the reported load, from 0 to 1; None if it is not usable.

    The load of an upstream that reports itself unhealthy is 1.

    >>> parse_load_report(b'{"load": 0.5}', b'{"healthy": true}')
    0.5
    >>> parse_load_report(b'', b'{"healthy": false}')
    1.0
    >>> parse_load_report(b'{"load": "high"}', b'') is None
    True
    """
    if _read_field(health_body, 'healthy') is False:
        return FULL_LOAD
    load = _read_field(load_body, 'load')
    if isinstance(load, bool) or not isinstance(load, (int, float)):
        return None
    return _clamp(load)


def _clamp(load: float) -> float | None:
    # NaN compares as false, so it is rejected here.
    if load >= 0:
        return min(load, FULL_LOAD)
    return None


def _read_field(body: bytes, name: str) -> Any:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict):
        return None
    return document.get(name)
