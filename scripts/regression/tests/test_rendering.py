"""Test the table and the plot of a deployment, and the command."""

from scripts.regression.__main__ import print_regression
from scripts.regression.comparison import compare_runs
from scripts.regression.rendering import plot_levels, render_deployment
from scripts.regression.tests.samples import make_day, make_entry, make_run


def test_table_and_plot_have_the_rows_in_the_same_order():
    runs = [
        make_run('c1', 'd1', 0.8, at='2026-12-05T14:26:07Z'),
        make_run('c2', 'd2', 0.5),
        make_run('c2', 'd2', 0.5, trial='9f'),
        make_run('c3', 'd1', 0.9),
    ]
    text = render_deployment(compare_runs(runs)[0])
    lines = [line.split() for line in text.splitlines()]
    figures = ['0.8000', '0.4000', '0.0800']
    row = ['1', 'c1', '2026-12-05T14:26', 'commit', '1', '-', '-', *figures]
    assert [*row, '-', '-', '-', '-', '-'] in lines
    assert ['c1', '1', '+0.1000', '+0.0500', '+0.0100'] == lines[5][-5:]
    assert ['worth', '▁··█', '0.8000', 'to', '0.9000,', 'last'] in [
        line[:6] for line in lines
    ]


def test_repetitions_of_the_same_code_are_drawn_as_nearly_level():
    assert plot_levels([0.9, 0.9002, 0.9]) == '▁▁▁'


def test_command_prints_one_deployment_and_changes_nothing(tmp_path, capsys):
    for number, site in enumerate(('edge', 'edge', 'waw')):
        entry = make_entry(make_day(), site=site, head=f'c{number}')
        (tmp_path / f'{number}.json').write_bytes(entry)
    (tmp_path / 'odd.json').write_bytes(b'{')
    before = {path: path.read_bytes() for path in tmp_path.iterdir()}
    print_regression(deployment='edge', journal=str(tmp_path))
    shown = capsys.readouterr().out
    assert shown.startswith('edge (ab12)\n')
    assert 'waw' not in shown
    assert 'not readable: odd.json' in shown
    assert before == {path: path.read_bytes() for path in tmp_path.iterdir()}
