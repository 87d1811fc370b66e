"""Find the outcome of a request or a flow in the logs of many processes."""

from collections.abc import Iterable

from bluebellfold.relay.operators.explain import (
    Explanation,
    explain,
    find_flows,
)
from bluebellfold.relay.operators.line_search import find_needle
from bluebellfold.relay.operators.log_reader import LogReader
from bluebellfold.relay.operators.progress import Progress


def explain_logs(
    wanted: str, paths: Iterable[str], *, progress: Progress | None = None
) -> Explanation:
    """Explain the outcome of a request or a flow from files and folders.

    The logs are searched twice for a request, since balancers write only its
    flow. Raise NothingFoundError, or LogReadError.
    """
    reader = LogReader(paths=paths, progress=progress)
    needle = find_needle(wanted)
    lines = list(reader.search({needle}, f'searching for {wanted}'))
    needles = set(map(find_needle, find_flows(wanted, lines)))
    if not needles <= {needle}:
        lines = list(reader.search(needles, 'searching for its flows'))
    return explain(wanted, lines)
