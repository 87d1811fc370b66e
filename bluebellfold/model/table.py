"""Format the statistics of replays as a table."""

from collections.abc import Iterator

from bluebellfold.model.replay import replay
from bluebellfold.model.settings import ModelSettings

# Column widths in characters.
PATTERN_WIDTH = 18
POLICY_WIDTH = 14
NUMBER_WIDTH = 9
DECIMAL_PLACES = 3
NUMBER_HEADINGS = (
    'seed',
    'asked',
    'worth',
    'worst s',
    'late',
    'p50 ms',
    'p99 ms',
    'broken',
)


def tabulate_replays(settings: ModelSettings) -> Iterator[str]:
    """Yield a header, a row for each replay and a line for each violation."""
    yield _format_row('pattern', 'rule', *NUMBER_HEADINGS)
    for pattern in settings.patterns:
        for policy in settings.policies:
            for seed in settings.seeds:
                yield from _replay_rows(settings, pattern, policy, seed)


def _replay_rows(
    settings: ModelSettings, pattern: str, policy: str, seed: int
) -> Iterator[str]:
    replayed = replay(
        pattern,
        seed=seed,
        site_parameters=settings.site_parameters(policy),
        seconds=settings.seconds,
    )
    statistics = replayed.statistics
    yield _format_row(
        pattern,
        policy,
        seed,
        statistics.requests,
        round(statistics.score, DECIMAL_PLACES),
        round(statistics.worst_second_score, DECIMAL_PLACES),
        round(statistics.late, DECIMAL_PLACES),
        statistics.p50,
        statistics.p99,
        len(replayed.violations),
    )
    for violation in replayed.violations:
        yield f'  {violation}'


def _format_row(pattern: str, policy: str, *numbers: object) -> str:
    cells = ''.join(str(number).rjust(NUMBER_WIDTH) for number in numbers)
    return pattern.ljust(PATTERN_WIDTH) + policy.ljust(POLICY_WIDTH) + cells
