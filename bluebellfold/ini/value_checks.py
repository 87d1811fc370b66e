"""Validate single values of settings and convert them."""

import ipaddress
import json
import re
from collections.abc import Iterable
from typing import Any

from configobj.validate import Validator, VdtValueError

from bluebellfold.core import Endpoint, Registry

NAME_PATTERN = re.compile('[a-z][a-z0-9-]{0,62}')
PORT_LIMIT = 65_536
# Begins a placeholder that the platform's templates leave unfilled.
PLACEHOLDER = '{{'

VALUE_CHECKS: Registry[str, Any] = Registry(name='value checks')


class InvalidValueError(VdtValueError):
    """Report a value that is not valid for its key."""

    def __init__(self, expected: str) -> None:
        Exception.__init__(self, expected)


def make_validator() -> Validator:
    """Return a validator with the registered checks."""
    return Validator({name: VALUE_CHECKS.find(name) for name in VALUE_CHECKS})


@VALUE_CHECKS.add('name')
def check_name(text: Any) -> str:
    """Return a name of lower-case letters, digits and hyphens."""
    if isinstance(text, str) and NAME_PATTERN.fullmatch(text):
        return text
    raise InvalidValueError(
        f'{text!r} is not a name of lower-case letters, digits and hyphens',
    )


@VALUE_CHECKS.add('names')
def check_names(texts: Any) -> tuple[str, ...]:
    """Return one or more names."""
    return tuple(check_name(name) for name in _as_list(texts))


@VALUE_CHECKS.add('address')
def check_address(text: Any) -> str:
    """Return an IPv4 address: tokens and envelopes have no space for IPv6."""
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError:
        raise InvalidValueError(f'{text!r} is not an IPv4 address') from None


@VALUE_CHECKS.add('networks')
def check_networks(texts: Any) -> tuple[str, ...]:
    """Return one or more CIDR blocks."""
    return tuple(_check_network(network) for network in _as_list(texts))


@VALUE_CHECKS.add('endpoint')
def check_endpoint(text: Any) -> Endpoint:
    """Return the endpoint for a text of the form host:port.

    >>> check_endpoint('127.0.0.1:8400')
    Endpoint(host='127.0.0.1', port=8400)
    """
    host, _, port = str(text).rpartition(':')
    if not port.isdecimal() or not 0 < int(port) < PORT_LIMIT:
        raise InvalidValueError(f'{text!r} is not host:port')
    return Endpoint(host=check_address(host), port=int(port))


@VALUE_CHECKS.add('endpoints')
def check_endpoints(texts: Any) -> tuple[Endpoint, ...]:
    """Return one or more endpoints."""
    return tuple(check_endpoint(endpoint) for endpoint in _as_list(texts))


@VALUE_CHECKS.add('optional_number')
def check_optional_number(text: Any) -> float | None:
    """Return a number that isn't negative, None for an empty text.

    >>> check_optional_number('1.5'), check_optional_number('null')
    (1.5, None)
    """
    if _is_empty(text):
        return None
    try:
        number = float(text)
    except (TypeError, ValueError):
        raise InvalidValueError(f'{text!r} is not a number') from None
    if not 0 <= number < float('inf'):
        raise InvalidValueError(f'{text!r} is not a number from 0 on')
    return number


@VALUE_CHECKS.add('json_table')
def check_json_table(text: Any) -> tuple[tuple[str, str], ...]:
    """Return the entries of a JSON table of texts, none for an empty text.

    A mapping would be taken for a section of the settings.

    >>> check_json_table('{"a": "north"}')
    (('a', 'north'),)
    """
    table = {} if _is_empty(text) else _load_json(text)
    if isinstance(table, dict) and _are_texts(table.values()):
        return tuple(table.items())
    raise InvalidValueError(f'{text!r} is not a JSON table of texts')


@VALUE_CHECKS.add('json_hosts')
def check_json_hosts(text: Any) -> tuple[str, ...]:
    """Return the hosts of a JSON list of host:port, empty for no text.

    >>> check_json_hosts('["10.0.0.1:8166"]')
    ('10.0.0.1',)
    """
    listed = [] if _is_empty(text) else _load_json(text)
    if isinstance(listed, list) and _are_texts(listed):
        return tuple(check_endpoint(endpoint).host for endpoint in listed)
    raise InvalidValueError(f'{text!r} is not a JSON list of host:port')


def _is_empty(text: Any) -> bool:
    return text in {'', 'null'} or str(text).startswith(PLACEHOLDER)


def _load_json(text: Any) -> Any:
    try:
        return json.loads(text)
    except (TypeError, ValueError, RecursionError):
        raise InvalidValueError(f'{text!r} is not JSON') from None


def _are_texts(texts: Iterable[Any]) -> bool:
    return all(isinstance(text, str) for text in texts)


def _check_network(text: str) -> str:
    try:
        return str(ipaddress.IPv4Network(text))
    except ValueError:
        raise InvalidValueError(
            f'{text!r} is not an IPv4 CIDR block',
        ) from None


def _as_list(texts: Any) -> list[str]:
    listed = [texts] if isinstance(texts, str) else list(texts)
    if not listed:
        raise InvalidValueError('the list is empty')
    return listed
