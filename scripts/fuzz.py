"""Repeat the property tests with fresh examples until the time is over."""

import sys
import time

import fire
import pytest

SECONDS_PER_MINUTE = 60


def main(*paths: str, minutes: float = 10) -> None:
    """Run the property tests in ``paths``; exit with 1 at the first failure.

    A failing example is printed, and kept in `.hypothesis` for the next run.
    """
    until = time.monotonic() + minutes * SECONDS_PER_MINUTE
    rounds = 0
    while time.monotonic() < until:
        seed = time.time_ns()
        exit_code = pytest.main(
            ['-m', 'hypothesis', f'--hypothesis-seed={seed}', *paths]
        )
        if exit_code:
            sys.exit(f'failed with --hypothesis-seed={seed}')
        rounds += 1
    sys.stdout.write(f'{rounds} rounds passed\n')


if __name__ == '__main__':
    fire.Fire(main)
