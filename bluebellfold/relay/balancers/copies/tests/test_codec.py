"""Test that any body is decoded or rejected as a whole."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.core import NO_ERA
from bluebellfold.platform import StoredObject
from bluebellfold.relay.balancers.copies.codec import (
    UnusableCopyError,
    decode_copies,
    encode_copies,
    encode_object,
)
from bluebellfold.relay.balancers.copies.copy_record import KindCopy
from bluebellfold.relay.balancers.copies.held_copies import HeldCopy
from bluebellfold.relay.tests.harness import position_of, single

KINDS = ('config', 'agents')
STORED = StoredObject(name='main', revision=3, spec={'any': [1, 'Ü']})
OBJECT = {'name': 'main', 'revision': 3, 'spec': {}}
COPY = {'era': 1, 'revision': 5, 'age_ms': 20, 'objects': [OBJECT]}
ODD_COPIES = (
    None,
    [],
    {},
    {**COPY, 'revision': -1},
    {**COPY, 'revision': '5'},
    {**COPY, 'era': -1},
    {**COPY, 'era': '1'},
    {**COPY, 'era': 2**32},
    {**COPY, 'age_ms': -1},
    {**COPY, 'age_ms': None},
    {**COPY, 'objects': {}},
    {**COPY, 'objects': [None]},
    {**COPY, 'objects': [OBJECT, {'name': 'main', 'revision': 3}]},
    {**COPY, 'objects': [{**OBJECT, 'name': ''}]},
    {**COPY, 'objects': [{**OBJECT, 'revision': True}]},
)


def body_of(copies):
    return json.dumps({'kinds': copies}).encode()


def test_copies_are_read_as_they_were_held():
    held = HeldCopy(
        kind='config',
        position=position_of(5),
        encoded={'main': encode_object(STORED)},
        confirmed_at=90,
        peer='10.0.0.2',
    )
    empty = HeldCopy(
        kind='agents', position=position_of(7), encoded={}, confirmed_at=0
    )
    assert decode_copies(encode_copies((held, empty), 102.5), KINDS) == (
        KindCopy(
            kind='config',
            position=position_of(5),
            age_seconds=12.5,
            stored_objects=(STORED,),
        ),
        KindCopy(
            kind='agents',
            position=position_of(7),
            age_seconds=0,
            stored_objects=(),
        ),
    )


def test_copy_of_an_earlier_release_tells_no_era():
    told = {name: COPY[name] for name in COPY if name != 'era'}
    decoded = single(decode_copies(body_of({'config': told}), KINDS))
    assert decoded.position == position_of(5, era=NO_ERA)


@pytest.mark.parametrize('odd', ODD_COPIES, ids=range(len(ODD_COPIES)))
def test_body_with_an_odd_copy_is_rejected_as_a_whole(odd):
    with pytest.raises(UnusableCopyError):
        decode_copies(body_of({'config': COPY, 'agents': odd}), KINDS)


@pytest.mark.parametrize('body', [b'', b'{', b'[]', b'{}', b'{"kinds":[]}'])
def test_other_documents_are_rejected(body):
    with pytest.raises(UnusableCopyError):
        decode_copies(body, KINDS)


# Guards against a newer release whose copies contain one kind more.
def test_kind_that_is_not_wanted_is_no_odd_part():
    body = body_of({'config': COPY, 'later': {'shape': 'unknown'}})
    assert [copy.kind for copy in decode_copies(body, KINDS)] == ['config']


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=9,
)


@given(st.binary() | json_values.map(lambda part: body_of({'config': part})))
def test_any_body_is_decoded_or_rejected(body):
    try:
        decode_copies(body, KINDS)
    except UnusableCopyError:
        return
