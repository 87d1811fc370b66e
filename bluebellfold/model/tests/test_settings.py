"""Test the settings of replays and the table of results."""

import pytest

from bluebellfold.core import SettingsError
from bluebellfold.model import load_model_settings, tabulate_replays

SETTINGS = """
[run]
patterns = calm, burst
rules = in-turn, least-work
seconds = 2
[site]
agents = 4
balancers = 2
[links]
"""


def write_settings(folder, text):
    path = folder / 'model.ini'
    path.write_text(text, encoding='utf-8')
    return path


def test_table_has_a_row_per_pattern_and_policy(tmp_path):
    rows = list(
        tabulate_replays(
            load_model_settings(write_settings(tmp_path, SETTINGS))
        )
    )
    shown = [tuple(row.split()[:3]) for row in rows[1:]]
    assert shown == [
        ('calm', 'in-turn', '1'),
        ('calm', 'least-work', '1'),
        ('burst', 'in-turn', '1'),
        ('burst', 'least-work', '1'),
    ]


@pytest.mark.parametrize(
    ('good', 'bad', 'remedy'),
    [
        ('calm, burst', 'earthquake', 'all-return'),
        ('in-turn, least-work', 'by-hand', 'least-work'),
        ('agents = 4', 'agents = 0', 'agents'),
    ],
)
def test_invalid_settings_error_names_valid_choices(
    tmp_path, good, bad, remedy
):
    path = write_settings(tmp_path, SETTINGS.replace(good, bad))
    with pytest.raises(SettingsError, match=remedy):
        load_model_settings(path)
