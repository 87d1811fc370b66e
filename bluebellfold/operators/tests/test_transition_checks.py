"""Test that numbers and ports are not reused for another entry."""

import pytest

from bluebellfold.operators import load_site
from bluebellfold.operators.tests.test_settings import BASE, OVERLAY
from bluebellfold.operators.transition_checks import (
    validate_transition,
)

CURRENT = load_site(BASE, OVERLAY).site

BATCH_AT_MAKEROOM = 'service = makeroom\nport = 8403\nurgency = 2\nshare = 1'
BATCH_AT_COUNTER = 'service = counter\nport = 8403\nurgency = 2\nshare = 0.1'


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('upstreams = 7', 'upstreams = 9', ()),
        ('[[order]]', '[[purchase]]', ('number', 'port')),
        ('port = 8402', 'port = 8409', ()),
        ('number = 2\nservice', 'number = 9\nservice', ()),
        (BATCH_AT_MAKEROOM, BATCH_AT_COUNTER, ('service',)),
        ('makeroom', 'dairy', ('number', 'service')),
        ('name = marrinup', 'name = klatka', ('name',)),
    ],
)
def test_transition_violations_name_their_keys(tmp_path, old, new, expected):
    overlay = tmp_path / 'site.ini'
    overlay.write_text(OVERLAY.read_text().replace(old, new))
    proposed = load_site(BASE, overlay).site
    found = validate_transition(CURRENT, proposed)
    assert tuple(violation.key for violation in found) == expected
