"""Test that a value that should be known is never read as None."""

import pytest

from bluebellfold.core import MissingValueError, require


# Guards against values that are false but known, such as 0.
@pytest.mark.parametrize('known', [0, '', (), 'report'])
def test_known_value_is_returned(known):
    assert require(known, name='load report') == known


def test_error_names_the_missing_value():
    with pytest.raises(MissingValueError, match='there is no load report yet'):
        require(None, name='load report')
