"""Read the runs of days from the entries of the journal."""

import json
from collections.abc import Iterator
from operator import attrgetter
from pathlib import Path
from typing import Any

from bluebellfold.core import Record, read_only
from scripts.regression.day_run import (
    CodeState,
    DayRun,
    Deployment,
    Figures,
)

WORST_WINDOWS = 'worst windows'
# Each part is a name, a weight and a figure; each price a name, an amount and
# what it takes from the worth.
FIGURE_INDEX = 2
UNFIT_ENTRY = (AttributeError, LookupError, OSError, TypeError, ValueError)

Fields = dict[str, Any]


class JournalRuns(Record):
    """List the runs of a journal, and what could not be used of it.

    ``unreadable`` has the file name and the reason. ``without_days`` counts
    entries of runs that ended before their first day did.
    """

    __slots__ = ('_runs', '_unreadable', '_without_days')

    runs: tuple[DayRun, ...] = read_only('_runs')
    unreadable: tuple[str, ...] = read_only('_unreadable')
    without_days: int = read_only('_without_days')

    def __init__(
        self,
        *,
        runs: tuple[DayRun, ...],
        unreadable: tuple[str, ...],
        without_days: int,
    ) -> None:
        self._runs = runs
        self._unreadable = unreadable
        self._without_days = without_days


def read_journal(folder: Path) -> JournalRuns:
    """Read all entries of a folder, sorted by the time of their run."""
    runs: list[DayRun] = []
    unreadable = []
    without_days = 0
    for path in sorted(folder.glob('*.json')):
        try:
            decoded = tuple(decode_entry(path.read_bytes()))
        except UNFIT_ENTRY as error:
            unreadable.append(f'{path.name}: {type(error).__name__}: {error}')
            continue
        runs.extend(decoded)
        without_days += not decoded
    return JournalRuns(
        runs=tuple(sorted(runs, key=attrgetter('started_at'))),
        unreadable=tuple(unreadable),
        without_days=without_days,
    )


def decode_entry(document: bytes) -> Iterator[DayRun]:
    """Yield the runs of an entry; raise one of UNFIT_ENTRY if it has none."""
    entry = json.loads(document)
    for day in entry['days']:
        yield DayRun(
            deployment=Deployment(
                name=entry['site'], description_hash=entry['site_sha']
            ),
            code=_decode_code(entry),
            started_at=entry['at'][0],
            day=day['day'],
            name=day['name'],
            figures=_decode_figures(day) if day['fault'] is None else None,
            breaches=sum(day['rules'].values()),
        )


def _decode_code(entry: Fields) -> CodeState:
    tree_hash = ''
    if entry['dirty']:
        tree_hash = ' '.join(files['sha256'] for files in entry['policy'])
    return CodeState(commit=entry['head'], uncommitted=tree_hash)


def _decode_figures(day: Fields) -> Figures:
    parts = {part[0]: part[FIGURE_INDEX] for part in day['parts']}
    return Figures(
        worth=float(day['G']),
        windows=float(parts[WORST_WINDOWS]),
        prices=float(sum(price[FIGURE_INDEX] for price in day['prices'])),
    )
