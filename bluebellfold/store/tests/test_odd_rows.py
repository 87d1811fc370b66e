"""Test that an odd row of a shared object doesn't hide the members."""

import json

import pytest

from bluebellfold.platform.tests.odd_parts import ODD_PARTS
from bluebellfold.store.row_codec import decode_members, decode_rows

GOOD = {
    'name': 'good',
    'service': 1,
    'zone': 'a',
    'host': '10.0.0.1',
    'port': 8172,
    'control_port': 8173,
    'weight': 1,
    'state': 'serving',
}


def text_with(odd_row):
    good = json.dumps({'version': [1, 2], 'row': GOOD})
    return '{"odd":%s,"good":%s}' % (odd_row, good)


@pytest.mark.parametrize('odd', ODD_PARTS.values(), ids=ODD_PARTS.keys())
@pytest.mark.parametrize('field', ['version', 'row', *GOOD])
def test_odd_row_leaves_the_others_and_names_no_wrong_port(field, odd):
    odd_text = odd.decode('utf-8', 'replace')
    row = dict(GOOD, **({field: '@'} if field in GOOD else {}))
    fields = {'version': [1, 2], 'row': row}
    if field not in GOOD:
        fields[field] = '@'
    text = text_with(json.dumps(fields).replace('"@"', odd_text))
    members = decode_members(text)
    assert members[-1].name == 'good'
    assert all(0 <= member.endpoint.port <= 65_535 for member in members)


def test_odd_row_is_kept_when_the_object_is_written_again():
    rows = decode_rows(text_with('7'))
    assert [row.key for row in rows] == ['odd', 'good']
