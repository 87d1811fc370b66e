"""Test the validation of TLS files."""

import time

import pytest

from bluebellfold.core import SettingsError
from bluebellfold.operators.tls_files import check_tls_files
from bluebellfold.standins.certificates import write_certificate

YEAR_SECONDS = 365 * 24 * 3600.0


@pytest.fixture
def files(tmp_path):
    return tuple(str(path) for path in write_certificate(tmp_path))


def test_matching_files_pass(files):
    check_tls_files(*files, now=time.time())


def test_expired_certificate_is_refused(files):
    with pytest.raises(SettingsError, match='expired at'):
        check_tls_files(*files, now=time.time() + YEAR_SECONDS)


def test_key_of_another_certificate_is_refused(files, tmp_path):
    other = tmp_path / 'other'
    other.mkdir()
    with pytest.raises(SettingsError, match='is not the key of'):
        check_tls_files(files[0], str(write_certificate(other)[1]), now=0)


@pytest.mark.parametrize(
    ('swapped', 'expected'),
    [
        ((1, 1), 'not a certificate'),
        ((0, 0), 'not a private key'),
    ],
)
def test_wrong_file_type_is_refused_without_showing_it(
    files, swapped, expected
):
    with pytest.raises(SettingsError, match=expected) as raised:
        check_tls_files(*(files[index] for index in swapped), now=0)
    assert 'BEGIN' not in str(raised.value)


def test_missing_file_is_refused(files, tmp_path):
    with pytest.raises(SettingsError, match='can not be read'):
        check_tls_files(files[0], str(tmp_path / 'none.pem'), now=0)
