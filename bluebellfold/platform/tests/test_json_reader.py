"""Test that JSON of any content is read within bounds."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.platform.json_reader import (
    MAX_DEPTH,
    UNREADABLE_JSON,
    is_integer,
    is_number,
    read_json,
)

DEEP = b'[' * 100_000 + b']' * 100_000
DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


def depth_of(document):
    parts = document.values() if isinstance(document, dict) else document
    if not isinstance(document, list | dict):
        return 0
    return 1 + max(map(depth_of, parts), default=0)


@given(DOCUMENTS)
def test_ordinary_documents_are_read_as_they_are(document):
    assert read_json(json.dumps(document).encode()) == document


@given(st.binary(max_size=300) | st.text(r'[]{}",:0-9eE\n').map(str.encode))
def test_any_bytes_are_read_or_unreadable(body):
    read_json(body)


@pytest.mark.parametrize(
    'odd',
    [
        DEEP,
        b'{"a":' * 50_000 + b'1' + b'}' * 50_000,
        b'9' * 5_000,
        b'-' + b'9' * 400,
        b'1e999',
        b'NaN',
        b'-Infinity',
        b'"\xff\xfe"',
        rb'"a\"[[[{"',
    ],
    ids=range(9),
)
def test_odd_part_leaves_the_others_readable(odd):
    before, after = b'{"before":1,"odd":', b',"after":["x"]}'
    document = read_json(before + odd + after)
    assert document['before'] == 1
    assert document['after'] == ['x']
    assert depth_of(document) <= MAX_DEPTH
    odd_part = document['odd']
    assert not is_integer(odd_part, least=-(10**400), most=10**400)
    assert not is_number(odd_part, least=-1e300, most=1e300)


@pytest.mark.parametrize('body', [b'', b'{', b'[1,]', b'[' * 200_000, b']'])
def test_text_that_is_no_document_is_unreadable(body):
    assert read_json(body) is UNREADABLE_JSON


# Guards against an event loop that one odd body of 64 KB blocks for seconds:
# the search for strings started anew at each quote of a string without an end.
@pytest.mark.parametrize('end', [b'', b'\\'])
def test_deep_text_with_an_open_string_is_read_in_linear_time(end):
    body = b'[' * 3_000 + b'"' + rb'\"' * 30_000 + end
    started = time.perf_counter()
    assert read_json(body) is UNREADABLE_JSON
    assert time.perf_counter() - started < 1
