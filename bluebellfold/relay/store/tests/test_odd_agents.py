"""Test that odd entries of other writers don't disturb the list of agents."""

import asyncio

import pytest

from bluebellfold.core.site import Endpoint
from bluebellfold.platform import Change, Changes, StoredObject
from bluebellfold.relay.store import AgentWatch
from bluebellfold.relay.store.tests.test_agents import RecordingActor
from bluebellfold.relay.tests.harness import position_of

FIRST = {'host': '10.0.0.1', 'port': 8172, 'service': 'counter', 'zone': 'a'}
SECOND = {**FIRST, 'host': '10.0.0.2'}
ODD_SPECS = (
    None,
    [],
    {'host': '10.0.0.1'},
    {**FIRST, 'port': 70_000},
    {**FIRST, 'port': True},
    {**FIRST, 'port': 10**40},
    {**FIRST, 'host': 1},
    {**FIRST, 'host': 'nowhere'},
    {**FIRST, 'service': ['counter']},
    {**FIRST, 'zone': None},
)


def change_of(name, spec, *, revision=1, deleted=False):
    stored = StoredObject(name=name, revision=revision, spec=spec)
    return Change(stored=stored, deleted=deleted)


def changes_of(*changes):
    return Changes(changes=changes, position=position_of(9))


async def hosts_after(*steps):
    """Return the hosts that the watch reports after its last step."""
    actor = RecordingActor()
    watch = AgentWatch(endpoint=Endpoint(host='127.0.0.1', port=1), actor=actor)
    for method, changes in steps:
        getattr(watch, method)(changes)
    messages = []
    while not actor.received.empty():
        messages.append(actor.received.get_nowait())
    return [entry.address[0] for entry in messages[-1].entries]


@pytest.mark.parametrize('spec', ODD_SPECS, ids=range(len(ODD_SPECS)))
def test_odd_entry_names_no_agent_and_the_others_hold(spec):
    listed = changes_of(change_of('odd', spec), change_of('good', SECOND))
    hosts = asyncio.run(hosts_after(('replace_all', listed)))
    assert hosts == ['10.0.0.2']


@pytest.mark.parametrize('spec', ODD_SPECS, ids=range(len(ODD_SPECS)))
@pytest.mark.parametrize('method', ['replace_all', 'apply'])
def test_entry_that_turns_odd_is_no_departure(method, spec):
    # The agent still serves; another writer has overwritten its object.
    good = changes_of(change_of('one', FIRST), change_of('two', SECOND))
    odd = changes_of(
        change_of('one', spec, revision=3), change_of('two', SECOND)
    )
    hosts = asyncio.run(hosts_after(('replace_all', good), (method, odd)))
    assert hosts == ['10.0.0.1', '10.0.0.2']


def test_deletion_of_an_odd_entry_is_a_departure():
    good = changes_of(change_of('one', FIRST), change_of('two', SECOND))
    deleted = changes_of(change_of('one', None, deleted=True))
    hosts = asyncio.run(hosts_after(('replace_all', good), ('apply', deleted)))
    assert hosts == ['10.0.0.2']


def test_odd_entry_is_logged_once_for_each_revision(caplog):
    odd = changes_of(change_of('odd', None))
    newer = changes_of(change_of('odd', None, revision=2))
    read = ('replace_all', odd)
    watched = ('apply', newer)
    asyncio.run(hosts_after(read, read, read, watched, watched))
    assert len(caplog.records) == 2
