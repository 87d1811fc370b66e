"""Test that apply is conditional and idempotent."""

import asyncio

import pytest

from bluebellfold.core import Record, Sentinel, read_only
from bluebellfold.operators.apply import (
    APPLIED,
    NOTHING_TO_DO,
    ConfigurationConflictError,
    apply_change,
    read_change,
)


class StoredVersion(Record):
    __slots__ = ('_operation', '_text', '_version')
    operation = read_only('_operation')
    text = read_only('_text')
    version = read_only('_version')

    def __init__(self, *, version, text, operation):
        self._version = version
        self._text = text
        self._operation = operation


class FakeStore:
    def __init__(self):
        self.versions = []

    async def read(self, name):
        return (
            self.versions[-1]
            if self.versions
            else Sentinel(name='missing', reason='no object')
        )

    async def write(self, *, name, text, expected_version, operation):
        if expected_version != len(self.versions):
            return Sentinel(name='conflict', reason='another write came first')
        stored = StoredVersion(
            version=expected_version + 1,
            text=text,
            operation=operation,
        )
        self.versions.append(stored)
        return stored


def apply(store, text, **options):
    async def read_and_apply():
        change = await read_change(store, site='marrinup', text=text)
        return await apply_change(store, change, operation='op', **options)

    return asyncio.run(read_and_apply())


def test_repeated_apply_writes_nothing():
    store = FakeStore()
    assert apply(store, 'a = 1\n').outcome == APPLIED
    repeated = apply(store, 'a = 1\n')
    assert (repeated.outcome, repeated.version) == (NOTHING_TO_DO, 1)
    assert len(store.versions) == 1


def test_apply_refuses_unexpected_version():
    store = FakeStore()
    apply(store, 'a = 1\n')
    apply(store, 'a = 2\n', expected_version=1)
    with pytest.raises(ConfigurationConflictError, match='version 2 is in'):
        apply(store, 'a = 3\n', expected_version=1)
    assert store.versions[-1].text == 'a = 2\n'


def test_write_between_read_and_apply_is_a_conflict():
    store = FakeStore()

    async def race():
        ours = await read_change(store, site='marrinup', text='a = 1\n')
        theirs = await read_change(store, site='marrinup', text='a = 2\n')
        await apply_change(store, theirs, operation='theirs')
        await apply_change(store, ours, operation='ours')

    with pytest.raises(ConfigurationConflictError, match='came first'):
        asyncio.run(race())
    assert [stored.operation for stored in store.versions] == ['theirs']


def test_diff_states_current_version():
    store = FakeStore()
    apply(store, 'a = 1\n')
    change = asyncio.run(read_change(store, site='marrinup', text='a = 2\n'))
    assert 'configuration/marrinup at version 1' in change.diff()
    assert change.diff().splitlines()[-2:] == ['-a = 1', '+a = 2']
