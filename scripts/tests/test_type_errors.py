"""Test that known type errors may only shrink."""

from collections import Counter

import pytest

from scripts.type_errors import (
    CLEAN_PACKAGES,
    ROOT,
    TypeCheckError,
    compare,
    count_errors,
    format_known,
    read_known,
)

RULE = 'reportCallIssue'
ENTRY: tuple[str, str] = ('bluebellfold/model/links.py', RULE)
OTHER: tuple[str, str] = ('bluebellfold/model/clients.py', RULE)


def error_in(path, **fields):
    return {
        'file': str(ROOT / path),
        'severity': 'error',
        'message': 'wrong call',
        'range': {'start': {'line': 6, 'character': 0}},
        **fields,
    }


def test_errors_are_counted_by_file_and_rule():
    errors = [error_in(ENTRY[0], rule=RULE), error_in(ENTRY[0], rule=RULE)]
    errors.append(error_in(ENTRY[0]))
    assert count_errors(errors) == {ENTRY: 2, (ENTRY[0], 'syntax'): 1}


def test_known_errors_pass():
    assert not compare(Counter({ENTRY: 2}), Counter({ENTRY: 2}))


# Guards against a new error in exchange for one that is gone elsewhere.
def test_an_error_in_another_file_fails():
    found = Counter({ENTRY: 1, OTHER: 1})
    problems = compare(found, Counter({ENTRY: 2}))
    assert [problem.partition(':')[0] for problem in problems] == [
        OTHER[0],
        ENTRY[0],
    ]


# Guards against counts that could grow again up to an older number.
def test_a_count_that_has_shrunk_must_be_lowered():
    assert compare(Counter({ENTRY: 1}), Counter({ENTRY: 2}))
    assert compare(Counter(), Counter({ENTRY: 2}))


def test_written_counts_are_read_back():
    counts = Counter({ENTRY: 2, OTHER: 1})
    assert read_known(format_known(counts)) == counts
    assert read_known('# A comment.\n1 rule file') == {('file', 'rule'): 1}


@pytest.mark.parametrize('package', CLEAN_PACKAGES)
def test_no_error_can_be_known_in_a_clean_package(package):
    with pytest.raises(TypeCheckError, match='without type errors'):
        read_known(f'1 {RULE} {package}actor.py\n')
