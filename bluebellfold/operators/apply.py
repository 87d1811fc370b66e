"""Apply a site's settings to the platform, conditionally and idempotently."""

import difflib
from collections.abc import Sequence
from typing import Any, Protocol

from bluebellfold.core import (
    BluebellfoldError,
    Record,
    Sentinel,
    read_only,
)

NO_VERSION = 0

APPLIED = 'applied'
NOTHING_TO_DO = 'nothing to do'


class StoredText(Protocol):
    """Define an object's text and version, as stored on the platform."""

    @property
    def text(self) -> str:
        """Return the text of the object."""

    @property
    def version(self) -> int:
        """Return the version, 1 or greater."""


class ObjectStore(Protocol):
    """Define an object store that writes only at an expected version."""

    async def read(self, name: str) -> Any:
        """Return the StoredText, or a false value if the object is missing."""

    async def write(
        self,
        *,
        name: str,
        text: str,
        expected_version: int,
        operation: str,
    ) -> Any:
        """Return the StoredText written, or a Sentinel with the reason."""

    async def history(self, name: str) -> Sequence[Any]:
        """Return the recent versions with their operations, newest last."""


class ConfigurationConflictError(BluebellfoldError):
    """Report that another version than the expected one is in force."""

    __slots__ = ()


class Change(Record):
    """Hold the version and text in force, and the text to apply."""

    __slots__ = ('_name', '_new_text', '_old_text', '_version')

    name: str = read_only('_name')
    new_text: str = read_only('_new_text')
    old_text: str = read_only('_old_text')
    version: int = read_only('_version')

    def __init__(
        self, *, name: str, version: int, old_text: str, new_text: str
    ) -> None:
        self._name = name
        self._version = version
        self._old_text = old_text
        self._new_text = new_text

    @property
    def empty(self) -> bool:
        """Return whether the text to apply is already in force."""
        return self._version != NO_VERSION and self._old_text == self._new_text

    def diff(self) -> str:
        """Return the change as a unified diff."""
        lines = difflib.unified_diff(
            self._old_text.splitlines(),
            self._new_text.splitlines(),
            fromfile=f'{self._name} at version {self._version}',
            tofile=f'{self._name} to apply',
            lineterm='',
        )
        return '\n'.join(lines)


class ApplyResult(Record):
    """Hold the outcome of an apply and the version then in force."""

    __slots__ = ('_outcome', '_version')

    outcome: str = read_only('_outcome')
    version: int = read_only('_version')

    def __init__(self, *, outcome: str, version: int) -> None:
        self._outcome = outcome
        self._version = version


def configuration_object_name(site: str) -> str:
    """Return the name of the object that stores a site's configuration."""
    return f'configuration/{site}'


async def read_change(store: ObjectStore, *, site: str, text: str) -> Change:
    """Read the text in force and return the change to the given text."""
    name = configuration_object_name(site)
    stored = await store.read(name)
    return Change(
        name=name,
        version=stored.version if stored else NO_VERSION,
        old_text=stored.text if stored else '',
        new_text=text,
    )


async def apply_change(
    store: ObjectStore,
    change: Change,
    *,
    operation: str,
    expected_version: int | None = None,
) -> ApplyResult:
    """Write the change if the version it was read at is still in force.

    ``expected_version`` is the version that the operator reviewed before,
    None if there was no earlier review. Raise ConfigurationConflictError,
    without a write, when another version is in force.
    """
    if change.empty:
        return ApplyResult(outcome=NOTHING_TO_DO, version=change.version)
    if expected_version not in {None, change.version}:
        raise _conflict_error(change, f'version {change.version} is in force')
    written = await store.write(
        name=change.name,
        text=change.new_text,
        expected_version=change.version,
        operation=operation,
    )
    if isinstance(written, Sentinel):
        raise _conflict_error(change, written.reason)
    return ApplyResult(outcome=APPLIED, version=written.version)


def _conflict_error(change: Change, reason: str) -> ConfigurationConflictError:
    return ConfigurationConflictError(
        problem=f'{change.name} was not written: {reason}',
        remedy='run config diff, merge the other change, and apply again',
    )
