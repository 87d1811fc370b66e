"""Format status reports as plain-text tables."""

from collections import Counter
from collections.abc import Iterable
from operator import attrgetter
from statistics import fmean
from typing import Any

from bluebellfold.core import Count
from bluebellfold.operators.messages import StatusReport

PROCESS_COLUMNS = (
    'name',
    'role',
    'zone',
    'service',
    'state',
    'version',
    'flows',
    'slots',
    'connections',
)
GROUP_COLUMNS = ('service', 'zone', 'agents', 'flows', 'slots', 'connections')
COUNT_COLUMNS = ('what', 'times')
COLUMN_GAP = '  '


def format_table(
    columns: tuple[str, ...], rows: Iterable[Iterable[Any]]
) -> str:
    """Return rows under headings, with aligned columns.

    Fractions are shown as percentages.

    >>> rows = [('agent-1', 0.5), ('agent-2', '')]
    >>> print(format_table(('name', 'load'), rows))
    NAME     LOAD
    agent-1  50%
    agent-2  -
    """
    lines = [[column.upper() for column in columns]]
    lines.extend([_format_cell(cell) for cell in row] for row in rows)
    widths = [
        max(len(cell) for cell in column) for column in zip(*lines, strict=True)
    ]
    return '\n'.join(_pad_row(line, widths) for line in lines)


def process_table(reports: Iterable[StatusReport]) -> str:
    """Return a table with a row for each process."""
    row_of = attrgetter(*PROCESS_COLUMNS)
    return format_table(PROCESS_COLUMNS, [row_of(report) for report in reports])


def group_table(reports: Iterable[StatusReport]) -> str:
    """Return a table of flows and mean load by service and zone."""
    group_of = attrgetter('service', 'zone')
    agents = [report for report in reports if report.service]
    rows = [
        _group_row([one for one in agents if group_of(one) == group])
        for group in sorted({group_of(report) for report in agents})
    ]
    return format_table(GROUP_COLUMNS, rows)


def count_table(counts: Iterable[Count]) -> str:
    """Return a table with the sum of the counts of each name."""
    sums: Counter[str] = Counter()
    for count in counts:
        sums[count.name] += count.times
    return format_table(COUNT_COLUMNS, sorted(sums.items()))


def _group_row(group: list[StatusReport]) -> list[Any]:
    return [
        group[0].service,
        group[0].zone,
        len(group),
        sum(report.flows for report in group),
        fmean(report.slots for report in group),
        fmean(report.connections for report in group),
    ]


def _format_cell(cell: Any) -> str:
    if isinstance(cell, float):
        return format(cell, '.0%')
    return str(cell) or '-'


def _pad_row(line: list[str], widths: list[int]) -> str:
    cells = zip(line, widths, strict=True)
    padded = COLUMN_GAP.join(cell.ljust(width) for cell, width in cells)
    return padded.rstrip()
