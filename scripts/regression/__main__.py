"""Print the figures of the journal by deployment and commit."""

import sys
from pathlib import Path

import fire

from scripts.regression.comparison import compare_runs
from scripts.regression.journal_reader import JournalRuns, read_journal
from scripts.regression.rendering import render_deployment

JOURNAL = Path(__file__).parents[2] / 'journal'


def print_regression(deployment: str = '', journal: str = '') -> None:
    """Print a table and plots for each deployment of the journal.

    Args:
        deployment: Name of the only deployment to print.
        journal: Path of the folder with the entries.
    """
    entries = read_journal(Path(journal or JOURNAL))
    compared = compare_runs(
        run for run in entries.runs if deployment in {'', run.deployment.name}
    )
    for figures in compared:
        sys.stdout.write(f'{render_deployment(figures)}\n\n')
    _print_rest(entries)


def _print_rest(entries: JournalRuns) -> None:
    sys.stdout.write(
        f'{entries.without_days} entries have no day: their runs were ended '
        + 'before it, or did not start\n',
    )
    for reason in entries.unreadable:
        sys.stdout.write(f'not readable: {reason}\n')


if __name__ == '__main__':
    fire.Fire(print_regression)
