"""Test that the documentation pages match the code."""

from pathlib import Path

import pytest

from bluebellfold.operators.command import run_command
from bluebellfold.operators.exit_codes import EXIT_CODES
from bluebellfold.operators.invocation import Invocation
from bluebellfold.operators.reasons_page import write_reasons_page
from bluebellfold.operators.settings_page import write_settings_reference

DOCS = Path(__file__).parents[3] / 'docs'
PAGE = (DOCS / 'OPERATING.md').read_text()
COMMANDS = [
    line.split()[1:]
    for line in PAGE.splitlines()
    if line.startswith('bluebellfold ')
]


def test_settings_reference_matches_specs():
    assert write_settings_reference() in PAGE, 'run: python -m scripts.pages'


def test_reasons_page_matches_code():
    page = (DOCS / 'REASONS.md').read_text()
    assert page == write_reasons_page(), 'run: python -m scripts.pages'


@pytest.mark.parametrize('arguments', COMMANDS, ids=' '.join)
def test_documented_command_is_parsed(arguments, monkeypatch):
    ran = []
    monkeypatch.setattr(Invocation, 'run', lambda _: ran.append('once') or 0)
    assert run_command(arguments) == 0
    assert ran == ['once']


def test_exit_codes_are_documented():
    codes = {EXIT_CODES.find(kind) for kind in EXIT_CODES}
    assert all(f'\n| {code} | ' in PAGE for code in codes | {0})
