"""Test that whole, partial and unfit entries are told apart."""

import pytest

from scripts.regression.day_run import Figures
from scripts.regression.journal_reader import decode_entry, read_journal
from scripts.regression.tests.samples import make_day, make_entry

PART_WITHOUT_FIGURE = [['worst windows', 0.25, None]]
NOTHING_RAN = {'G': 0, 'fault': 'no process', 'parts': PART_WITHOUT_FIGURE}


def test_figures_are_worth_worst_windows_and_sum_of_prices():
    run = next(decode_entry(make_entry(make_day(rules={'FLOW': 2}))))
    assert run.figures == Figures(worth=0.8, windows=0.7, prices=0.03)
    assert run.breaches == 2
    assert not run.code.is_trial


def test_run_with_a_fault_has_no_figures():
    # Guards against the mean with the figures until a run was given up.
    days = (make_day(fault='too slow'), make_day(**NOTHING_RAN))
    assert [run.figures for run in decode_entry(make_entry(*days))] == [
        None,
        None,
    ]


def test_trees_with_different_changes_are_different_states():
    codes = {
        next(decode_entry(make_entry(make_day(), **fields))).code
        for fields in (
            {},
            {'dirty': True},
            {'dirty': True, 'policy': [{'sha256': 'e4'}]},
        )
    }
    assert len(codes) == 3


def test_runs_are_in_the_order_of_their_times(tmp_path):
    # The file names are made when runs end, so that they don't tell.
    for name, time in (('a', '2026-12-06'), ('b', '2026-12-05')):
        entry = make_entry(make_day(), at=[time, None])
        (tmp_path / f'{name}.json').write_bytes(entry)
    runs = read_journal(tmp_path).runs
    assert [run.started_at for run in runs] == ['2026-12-05', '2026-12-06']


@pytest.mark.parametrize(
    'document',
    [
        b'',
        b'[]',
        b'{"days": 7}',
        b'\xff',
        make_entry({}),
        make_entry(make_day(parts=PART_WITHOUT_FIGURE)),
        make_entry(make_day(prices=[['x']])),
        make_entry(make_day(rules=[])),
    ],
)
def test_unfit_entry_is_named_and_the_others_are_read(tmp_path, document):
    (tmp_path / 'odd.json').write_bytes(document)
    (tmp_path / 'ended.json').write_bytes(make_entry(site=None))
    (tmp_path / 'whole.json').write_bytes(make_entry(make_day()))
    journal = read_journal(tmp_path)
    assert len(journal.runs) == 1
    assert journal.without_days == 1
    assert [text.split(':')[0] for text in journal.unreadable] == ['odd.json']
