"""Describe what a check finds in a configuration."""

from enum import Enum

from bluebellfold.core import Record, read_only


class Severity(Enum):
    """Tell errors, which forbid a submission, from warnings."""

    error = 'error'
    warning = 'warning'


class Finding(Record):
    """Name a place in the document, what was expected, and the remedy."""

    __slots__ = ('_expected', '_path', '_remedy')

    expected: str = read_only('_expected')
    path: str = read_only('_path')
    remedy: str = read_only('_remedy')

    def __init__(self, *, path: str, expected: str, remedy: str) -> None:
        self._path = path
        self._expected = expected
        self._remedy = remedy


class CodedFinding(Record):
    """Add the code and the severity of the rule to a finding."""

    __slots__ = ('_code', '_finding', '_severity')

    code: str = read_only('_code')
    finding: Finding = read_only('_finding')
    severity: Severity = read_only('_severity')

    def __init__(
        self, *, code: str, severity: Severity, finding: Finding
    ) -> None:
        self._code = code
        self._severity = severity
        self._finding = finding
