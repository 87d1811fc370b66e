"""Show the figures of replays as a table."""

from collections.abc import Iterator

from bluebellfold.model.replay import replay
from bluebellfold.model.settings import ModelSettings

# Widths of the pattern, of the rule and of each figure, in letters.
PATTERN_WIDTH = 18
RULE_WIDTH = 14
FIGURE_WIDTH = 9
DIGITS = 3
TITLE = (
    'seed',
    'asked',
    'worth',
    'worst s',
    'late',
    'p50 ms',
    'p99 ms',
    'broken',
)


def show_replays(settings: ModelSettings) -> Iterator[str]:
    """Yield a line for each replay, and one for each broken promise."""
    yield _row('pattern', 'rule', *TITLE)
    for pattern in settings.patterns:
        for rule in settings.rules:
            for seed in settings.seeds:
                yield from _show_replay(settings, pattern, rule, seed)


def _show_replay(
    settings: ModelSettings, pattern: str, rule: str, seed: int
) -> Iterator[str]:
    outcome = replay(
        pattern,
        seed=seed,
        shape=settings.shape_with(rule),
        seconds=settings.seconds,
    )
    shown = outcome.figures
    yield _row(
        pattern,
        rule,
        seed,
        shown.asked,
        round(shown.worth, DIGITS),
        round(shown.worst, DIGITS),
        round(shown.late, DIGITS),
        shown.p50,
        shown.p99,
        len(outcome.broken),
    )
    for broken in outcome.broken:
        yield f'  {broken}'


def _row(pattern: str, rule: str, *figures: object) -> str:
    shown = ''.join(str(figure).rjust(FIGURE_WIDTH) for figure in figures)
    return pattern.ljust(PATTERN_WIDTH) + rule.ljust(RULE_WIDTH) + shown
