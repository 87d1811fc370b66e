"""Compare the errors of the type checker with the known ones.

``.ci/type-errors.txt`` counts the known errors by file and rule. A count that
grows fails, and so does one that shrinks until it is lowered in the file.
Packages that have no errors can't be listed.
"""

import json
import subprocess
import sys
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import fire

from bluebellfold.core import BluebellfoldError

ROOT = Path(__file__).parent.parent
KNOWN_FILE = ROOT / '.ci' / 'type-errors.txt'
CLEAN_PACKAGES = (
    'bluebellfold/core/',
    'bluebellfold/platform/',
    'bluebellfold/relay/',
)
CHECKER = (sys.executable, '-m', 'basedpyright', '--outputjson')
# The checker's other exit codes say that it could not check the code.
CHECKED_EXIT_CODES = (0, 1)
# Rule of an error that no rule can turn off.
NO_RULE = 'syntax'
HEADER = """\
# Known errors of the type checker: count, rule and file. The counts may only
# shrink; `python -m scripts.type_errors --lower` writes the lower ones.
"""

# Counts errors by file and rule.
ErrorCounts = Counter[tuple[str, str]]


class TypeCheckError(BluebellfoldError):
    """Report that the errors can't be counted or compared."""

    __slots__ = ()


def main(*, lower: bool = False) -> None:
    """Exit with 1 if the errors differ from the known ones.

    With ``lower``, known counts that have shrunk are written to the file.
    """
    errors = list_errors()
    found = count_errors(errors)
    known = read_known(KNOWN_FILE.read_text(encoding='utf-8'))
    if lower and found <= known:
        KNOWN_FILE.write_text(format_known(found), encoding='utf-8')
        known = found
    problems = compare(found, known)
    if not problems:
        sys.stdout.write(f'{found.total()} known type errors\n')
        return
    grown = {entry for entry in found if found[entry] > known[entry]}
    for error in errors:
        if _entry_of(error) in grown:
            sys.stdout.write(f'{_format_error(error)}\n')
    sys.exit('\n'.join(problems))


def list_errors() -> list[dict[str, Any]]:
    """Return the errors that the type checker finds in the project."""
    # The arguments are constants.
    checked = subprocess.run(  # noqa: S603
        CHECKER, cwd=ROOT, capture_output=True, text=True, check=False
    )
    if checked.returncode not in CHECKED_EXIT_CODES:
        raise TypeCheckError(
            problem=f'the type checker failed: {checked.stderr}',
            remedy='check [tool.basedpyright] in pyproject.toml',
        )
    report = json.loads(checked.stdout)
    return [
        diagnostic
        for diagnostic in report['generalDiagnostics']
        if diagnostic['severity'] == 'error'
    ]


def count_errors(errors: Iterable[dict[str, Any]]) -> ErrorCounts:
    """Count errors by file and rule."""
    return Counter(map(_entry_of, errors))


def read_known(text: str) -> ErrorCounts:
    """Return the known counts, or raise TypeCheckError for a clean package.

    >>> read_known('2 reportCallIssue bluebellfold/a.py')
    Counter({('bluebellfold/a.py', 'reportCallIssue'): 2})
    """
    known: ErrorCounts = Counter()
    for line in text.splitlines():
        if line.startswith('#'):
            continue
        count, rule, path = line.split()
        if path.startswith(CLEAN_PACKAGES):
            raise TypeCheckError(
                problem=f'{path} is in a package without type errors',
                remedy=f'fix the errors, and remove it from {KNOWN_FILE.name}',
            )
        known[path, rule] = int(count)
    return known


def format_known(counts: ErrorCounts) -> str:
    """Return the text of the file of known counts."""
    lines = [
        f'{count} {rule} {path}\n'
        for (path, rule), count in sorted(counts.items())
    ]
    return ''.join((HEADER, *lines))


def compare(found: ErrorCounts, known: ErrorCounts) -> list[str]:
    """Return a line for each file and rule whose count differs."""
    problems = []
    for path, rule in sorted(found | known):
        now = found[path, rule]
        before = known[path, rule]
        if now > before:
            problems.append(f'{path}: {now} {rule}, known are {before}')
        elif now < before:
            problems.append(
                f'{path}: {now} {rule}, lower the {before} in {KNOWN_FILE.name}'
            )
    return problems


def _entry_of(error: dict[str, Any]) -> tuple[str, str]:
    path = Path(error['file']).relative_to(ROOT).as_posix()
    return (path, error.get('rule', NO_RULE))


def _format_error(error: dict[str, Any]) -> str:
    path, rule = _entry_of(error)
    line = error['range']['start']['line'] + 1
    message = error['message']
    return f'{path}:{line}: {message} ({rule})'


if __name__ == '__main__':
    fire.Fire(main)
