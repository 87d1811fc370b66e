"""Test the settings of the load generator."""

import shutil
from pathlib import Path

import pytest

from bluebellfold.core import SettingsError
from bluebellfold.operators.load_settings import load_load_settings

SETTINGS = Path(__file__).parents[3] / 'settings'
LOAD = (SETTINGS / 'load-marrinup.ini').read_text()


def test_shipped_load_targets_balancers_of_site():
    settings = load_load_settings(SETTINGS / 'load-marrinup.ini')
    kinds = {kind.name: kind for kind in settings.plan.kinds}
    assert kinds['feed'].streams
    assert len(kinds['order'].balancers) == 3
    assert {one.port for one in kinds['order'].balancers} == {8402}
    assert settings.plan.floods[0].kind == 'batch'
    assert settings.plot == SETTINGS / 'load.png'


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('[[order]]', '[[odrer]]', '[[odrer]]: unknown kind of work'),
        ('streams = 60', 'streams = 60\nrate = 1', 'either a rate or streams'),
        ('kind = batch', 'kind = chunk', '[[rush]] kind: unknown kind of work'),
        ('ends = 20', 'ends = 200', '[[rush]] ends: it must be after'),
        ('seconds = 25', 'secs = 25', '[load] secs: unknown key'),
    ],
)
def test_invalid_load_is_refused(old, new, expected, tmp_path):
    for name in ('base.ini', 'marrinup.ini'):
        shutil.copy(SETTINGS / name, tmp_path)
    path = tmp_path / 'load.ini'
    path.write_text(LOAD.replace(old, new, 1))
    with pytest.raises(SettingsError) as refused:
        load_load_settings(path)
    assert expected in str(refused.value)
