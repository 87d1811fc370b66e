"""Compare the figures of each state of the code with committed ones."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from operator import attrgetter
from statistics import fmean

from bluebellfold.core import Record, read_only
from scripts.regression.day_run import CodeState, DayRun, Deployment, Figures

MIN_STATES = 2

FiguresByDay = Mapping[str, Figures]


class Change(Record):
    """Hold how figures differ from the last committed ones before them.

    ``days`` is the number of days that an earlier commit has run, and
    ``figures`` the mean of the differences over these. The last committed
    figures of the days may be of several ``commits``.
    """

    __slots__ = ('_commits', '_days', '_figures')

    commits: tuple[str, ...] = read_only('_commits')
    days: int = read_only('_days')
    figures: Figures = read_only('_figures')

    def __init__(
        self, *, commits: tuple[str, ...], days: int, figures: Figures
    ) -> None:
        self._commits = commits
        self._days = days
        self._figures = figures


class CodeFigures(Record):
    """Hold the figures of one state of the code at one deployment.

    ``by_day`` has the mean of the whole runs of each day. ``change`` is None
    if no earlier commit ran one of the days.
    """

    __slots__ = (
        '_breaches',
        '_by_day',
        '_change',
        '_code',
        '_failed_runs',
        '_started_at',
    )

    breaches: int = read_only('_breaches')
    by_day: FiguresByDay = read_only('_by_day')
    change: Change | None = read_only('_change')
    code: CodeState = read_only('_code')
    failed_runs: int = read_only('_failed_runs')
    started_at: str = read_only('_started_at')

    def __init__(
        self,
        *,
        code: CodeState,
        started_at: str,
        by_day: FiguresByDay,
        failed_runs: int,
        breaches: int,
        change: Change | None = None,
    ) -> None:
        self._code = code
        self._started_at = started_at
        self._by_day = by_day
        self._failed_runs = failed_runs
        self._breaches = breaches
        self._change = change


class DeploymentFigures(Record):
    """Hold the figures of a deployment, a row for each state of the code.

    The rows are in the order of their first runs. ``day_names`` has the days
    that at least two rows have run whole; ``runs_left_out`` counts the whole
    runs of other days.
    """

    __slots__ = ('_day_names', '_deployment', '_rows', '_runs_left_out')

    day_names: Mapping[str, str] = read_only('_day_names')
    deployment: Deployment = read_only('_deployment')
    rows: tuple[CodeFigures, ...] = read_only('_rows')
    runs_left_out: int = read_only('_runs_left_out')

    def __init__(
        self,
        *,
        deployment: Deployment,
        day_names: Mapping[str, str],
        rows: tuple[CodeFigures, ...],
        runs_left_out: int,
    ) -> None:
        self._deployment = deployment
        self._day_names = day_names
        self._rows = rows
        self._runs_left_out = runs_left_out


def compare_runs(runs: Iterable[DayRun]) -> tuple[DeploymentFigures, ...]:
    """Return the figures of each deployment, sorted by its name.

    The runs come in the order of their times.
    """
    by_deployment = _group(runs, 'deployment')
    names = attrgetter('name', 'description_hash')
    return tuple(
        _compare_deployment(deployment, by_deployment[deployment])
        for deployment in sorted(by_deployment, key=names)
    )


def mean_figures(figures: Iterable[Figures]) -> Figures:
    """Return the mean of each figure; at least one is needed.

    >>> one = Figures(worth=0.5, windows=0.25, prices=0)
    >>> mean_figures([one, Figures(worth=1, windows=0.75, prices=0.5)])
    Figures(prices=0.25, windows=0.5, worth=0.75)
    """
    listed = tuple(figures)
    return Figures(
        worth=fmean(one.worth for one in listed),
        windows=fmean(one.windows for one in listed),
        prices=fmean(one.prices for one in listed),
    )


def _compare_deployment(
    deployment: Deployment, runs: list[DayRun]
) -> DeploymentFigures:
    whole = [run for run in runs if run.figures is not None]
    shared = {
        day
        for day, runs_of_day in _group(whole, 'day').items()
        if len({run.code for run in runs_of_day}) >= MIN_STATES
    }
    rows: list[CodeFigures] = []
    for code, runs_of_code in _group(runs, 'code').items():
        row = _summarise(code, runs_of_code, shared)
        if row.by_day or row.failed_runs or row.breaches:
            rows.append(row.replace(change=_find_change(row, rows)))
    return DeploymentFigures(
        deployment=deployment,
        day_names={run.day: run.name for run in whole if run.day in shared},
        rows=tuple(rows),
        runs_left_out=sum(run.day not in shared for run in whole),
    )


def _summarise(
    code: CodeState, runs: list[DayRun], shared: set[str]
) -> CodeFigures:
    whole = [run for run in runs if run.figures is not None]
    by_day = _group((run for run in whole if run.day in shared), 'day')
    return CodeFigures(
        code=code,
        started_at=runs[0].started_at,
        by_day={
            day: mean_figures(run.figures for run in by_day[day])
            for day in by_day
        },
        failed_runs=len(runs) - len(whole),
        breaches=sum(run.breaches for run in runs),
    )


def _find_change(row: CodeFigures, earlier: list[CodeFigures]) -> Change | None:
    committed: dict[str, CodeFigures] = {}
    for before in earlier:
        if not before.code.is_trial:
            committed.update(dict.fromkeys(before.by_day, before))
    days = [day for day in row.by_day if day in committed]
    if not days:
        return None
    return Change(
        commits=tuple(
            dict.fromkeys(committed[day].code.commit for day in days)
        ),
        days=len(days),
        figures=mean_figures(
            _subtract(row.by_day[day], committed[day].by_day[day])
            for day in days
        ),
    )


def _subtract(later: Figures, earlier: Figures) -> Figures:
    return Figures(
        worth=later.worth - earlier.worth,
        windows=later.windows - earlier.windows,
        prices=later.prices - earlier.prices,
    )


def _group(runs: Iterable[DayRun], attribute: str) -> dict:
    groups = defaultdict(list)
    for run in runs:
        groups[getattr(run, attribute)].append(run)
    return dict(groups)
