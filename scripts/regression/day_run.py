"""Hold the figures of one simulated day that one entry of the journal has."""

from bluebellfold.core import Record, read_only


class Figures(Record):
    """Hold the worth of a day, its worst windows and the sum of its prices.

    Each is a share of what the day could be worth at most.
    """

    __slots__ = ('_prices', '_windows', '_worth')

    prices: float = read_only('_prices')
    windows: float = read_only('_windows')
    worth: float = read_only('_worth')

    def __init__(self, *, worth: float, windows: float, prices: float) -> None:
        self._worth = worth
        self._windows = windows
        self._prices = prices


class Deployment(Record):
    """Name a deployment, and the hash of the file that describes it."""

    __slots__ = ('_description_hash', '_name')

    description_hash: str = read_only('_description_hash')
    name: str = read_only('_name')

    def __init__(self, *, name: str, description_hash: str) -> None:
        self._name = name
        self._description_hash = description_hash


class CodeState(Record):
    """Name a commit, and the tree's content if that is not the commit's.

    ``uncommitted`` is the hash of a tree with changes beside the commit, empty
    for the commit itself. Figures of such a tree are those of a trial.
    """

    __slots__ = ('_commit', '_uncommitted')

    commit: str = read_only('_commit')
    uncommitted: str = read_only('_uncommitted')

    def __init__(self, *, commit: str, uncommitted: str = '') -> None:
        self._commit = commit
        self._uncommitted = uncommitted

    @property
    def is_trial(self) -> bool:
        """Return whether the tree had changes beside the commit."""
        return bool(self._uncommitted)


class DayRun(Record):
    """Hold one run of a day.

    ``day`` is the hash of the day's description, and ``name`` its name in the
    entry. ``figures`` is None if the run was given up or never began: what it
    measured until then says nothing about the day. ``breaches`` counts the
    breaches of rules.
    """

    __slots__ = (
        '_breaches',
        '_code',
        '_day',
        '_deployment',
        '_figures',
        '_name',
        '_started_at',
    )

    breaches: int = read_only('_breaches')
    code: CodeState = read_only('_code')
    day: str = read_only('_day')
    deployment: Deployment = read_only('_deployment')
    figures: Figures | None = read_only('_figures')
    name: str = read_only('_name')
    started_at: str = read_only('_started_at')

    def __init__(
        self,
        *,
        deployment: Deployment,
        code: CodeState,
        started_at: str,
        day: str,
        name: str,
        figures: Figures | None,
        breaches: int = 0,
    ) -> None:
        self._deployment = deployment
        self._code = code
        self._started_at = started_at
        self._day = day
        self._name = name
        self._figures = figures
        self._breaches = breaches
