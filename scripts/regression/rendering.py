"""Format compared figures as tables and text plots."""

from collections.abc import Iterable, Iterator
from operator import attrgetter

from bluebellfold.operators.tables import format_table
from scripts.regression.comparison import (
    Change,
    CodeFigures,
    DeploymentFigures,
    mean_figures,
)
from scripts.regression.day_run import Figures

MEASURES = ('worth', 'windows', 'prices')
COLUMNS = (
    'row',
    'commit',
    'started',
    'tree',
    'days',
    'failed',
    'breaches',
    *MEASURES,
    'against',
    'same days',
    '+-worth',
    '+-windows',
    '+-prices',
)
FIGURE_FORMAT = '.4f'
CHANGE_FORMAT = '+.4f'
COMMIT_LENGTH = 7
HASH_LENGTH = 8
MINUTE_LENGTH = len('2026-12-05T14:26')
LEVELS = '▁▂▃▄▅▆▇█'
NO_RUN = '·'
# Repetitions of a day on the same code differ by less than this, and are drawn
# as nearly level instead of as a change.
MIN_RANGE = 0.005


def render_deployment(figures: DeploymentFigures) -> str:
    """Return the table of a deployment, and a plot of each of its days."""
    deployment = figures.deployment
    rows = [
        _table_row(number, row) for number, row in enumerate(figures.rows, 1)
    ]
    description = deployment.description_hash[:HASH_LENGTH]
    lines = [f'{deployment.name} ({description})']
    lines.append(format_table(COLUMNS, rows))
    if figures.runs_left_out:
        lines.append(
            f'left out: {figures.runs_left_out} runs of days that no other '
            + 'state of the code has run',
        )
    lines.extend(_plot_days(figures))
    return '\n'.join(lines)


def plot_levels(numbers: Iterable[float | None]) -> str:
    """Return a character for each number, None for a missing one.

    >>> plot_levels([0.2, None, 0.4, 0.35])
    '▁·█▆'
    """
    listed = tuple(numbers)
    present = [number for number in listed if number is not None]
    lowest = min(present)
    step = max(max(present) - lowest, MIN_RANGE) / (len(LEVELS) - 1)
    return ''.join(
        NO_RUN if number is None else LEVELS[round((number - lowest) / step)]
        for number in listed
    )


def _table_row(number: int, row: CodeFigures) -> list[str]:
    means = mean_figures(row.by_day.values()) if row.by_day else None
    return [
        str(number),
        row.code.commit[:COMMIT_LENGTH],
        row.started_at[:MINUTE_LENGTH],
        'trial' if row.code.is_trial else 'commit',
        str(len(row.by_day)),
        str(row.failed_runs or ''),
        str(row.breaches or ''),
        *_format_figures(means, FIGURE_FORMAT),
        *_format_change(row.change),
    ]


def _format_change(change: Change | None) -> list[str]:
    if change is None:
        return ['', '', *_format_figures(None, CHANGE_FORMAT)]
    against = f'{len(change.commits)} commits'
    if len(change.commits) == 1:
        against = change.commits[0][:COMMIT_LENGTH]
    return [
        against,
        str(change.days),
        *_format_figures(change.figures, CHANGE_FORMAT),
    ]


def _format_figures(figures: Figures | None, spec: str) -> list[str]:
    if figures is None:
        return ['' for _ in MEASURES]
    return [format(getattr(figures, measure), spec) for measure in MEASURES]


def _plot_days(figures: DeploymentFigures) -> Iterator[str]:
    names = figures.day_names
    for day in sorted(names, key=names.__getitem__):
        yield f'  {names[day]} ({day}), rows 1 to {len(figures.rows)}'
        by_row = [row.by_day.get(day) for row in figures.rows]
        for measure in MEASURES:
            read_measure = attrgetter(measure)
            yield _plot_line(
                measure,
                [None if one is None else read_measure(one) for one in by_row],
            )


def _plot_line(measure: str, numbers: list[float | None]) -> str:
    present = [number for number in numbers if number is not None]
    lowest, highest, last = (
        format(number, FIGURE_FORMAT)
        for number in (min(present), max(present), present[-1])
    )
    marks = '    {0:8}{1}'.format(measure, plot_levels(numbers))
    return f'{marks}  {lowest} to {highest}, last {last}'
