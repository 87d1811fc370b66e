"""Test the key file: secrets are not shown, and rotation is compatible."""

import pytest

from bluebellfold.core import SettingsError
from bluebellfold.operators import load_keys
from bluebellfold.operators.key_rotation import new_keys, rotate_keys


@pytest.fixture
def keys_file(tmp_path):
    path = tmp_path / 'keys.ini'
    new_keys(path)
    return path


def test_new_keys_are_absent_from_repr_and_readable_by_owner_only(keys_file):
    keys = load_keys(keys_file)
    assert keys.token.current.secret != keys.envelope.current.secret
    assert keys.token.current.secret.hex() in keys_file.read_text()
    assert str(keys.token.current.secret) not in repr(keys)
    assert keys.token.current.secret.hex() not in repr(keys)
    assert keys_file.stat().st_mode & 0o777 == 0o600


def test_new_keys_refuse_existing_file(keys_file):
    with pytest.raises(SettingsError, match='exists'):
        new_keys(keys_file)


def test_missing_directory_is_refused(tmp_path):
    with pytest.raises(SettingsError, match='can not be written'):
        new_keys(tmp_path / 'none' / 'keys.ini')


def test_keys_stay_compatible_at_each_rotation_step(keys_file):
    before = load_keys(keys_file).token
    for finished in (False, True, False, True):
        assert rotate_keys(keys_file) is finished
        after = load_keys(keys_file).token
        # Each file accepts what the other file's key seals.
        assert before.current in after.valid
        assert after.current in before.valid
        assert after.valid[0] == after.current
        before = after


@pytest.mark.parametrize(
    'wrong',
    ['0:zz', '0:00', f'256:{"0" * 32}', 'secret'],
)
def test_invalid_key_is_refused_without_showing_it(keys_file, wrong):
    keys = load_keys(keys_file)
    written = f'0:{keys.token.current.secret.hex()}'
    keys_file.write_text(keys_file.read_text().replace(written, wrong))
    with pytest.raises(SettingsError, match='token. current') as raised:
        load_keys(keys_file)
    assert wrong not in str(raised.value)
