"""Mark the tests listed in KNOWN-RED.txt as expected failures."""

import os
from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED_FILE = Path(__file__).with_name('KNOWN-RED.txt')
TEST_PREFIX = 'test: '
PROFILE_VARIABLE = 'HYPOTHESIS_PROFILE'
FUZZ_EXAMPLES = 500

# Each run of the tests draws the same examples and reaches the same verdict;
# `make fuzz` draws fresh ones.
settings.register_profile('same', derandomize=True, deadline=None)
settings.register_profile('fuzz', max_examples=FUZZ_EXAMPLES, deadline=None)
settings.load_profile(os.environ.get(PROFILE_VARIABLE, 'same'))


def known_red_tests() -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix(TEST_PREFIX)
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    listed = known_red_tests()
    for test in items:
        if test.nodeid in listed:
            test.add_marker(
                pytest.mark.xfail(reason=KNOWN_RED_FILE.name, strict=False)
            )


def pytest_terminal_summary(terminalreporter: object) -> None:
    """Print the listed tests at the end of each run."""
    for listed in sorted(known_red_tests()):
        terminalreporter.write_line(f'{KNOWN_RED_FILE.name}: {listed}')
