"""Register the rules of the configuration check, and apply them."""

from collections.abc import Callable, Iterator

from bluebellfold.core import (
    ANY_REGION,
    Record,
    Regions,
    Registry,
    read_only,
)
from bluebellfold.operators.findings import CodedFinding, Finding, Severity
from bluebellfold.platform import Configuration


class CheckInput(Record):
    """Hold the document to check, and what it is compared with.

    ``current`` is the version in force, None if there is none to compare.
    ``regions`` are those that have upstreams, empty if they are not known.
    ``drain_seconds`` is how long a drain waits, None if that is not known.
    """

    __slots__ = ('_configuration', '_current', '_drain_seconds', '_regions')

    configuration: Configuration = read_only('_configuration')
    current: Configuration | None = read_only('_current')
    drain_seconds: float | None = read_only('_drain_seconds')
    regions: Regions = read_only('_regions')

    def __init__(
        self,
        *,
        configuration: Configuration,
        current: Configuration | None = None,
        regions: Regions = ANY_REGION,
        drain_seconds: float | None = None,
    ) -> None:
        self._configuration = configuration
        self._current = current
        self._regions = regions
        self._drain_seconds = drain_seconds


Findings = Iterator[Finding]
Check = Callable[[CheckInput], Findings]


class Rule(Record):
    """Describe one check."""

    __slots__ = ('_check', '_code', '_severity', '_summary')

    check: Check = read_only('_check')
    code: str = read_only('_code')
    severity: Severity = read_only('_severity')
    summary: str = read_only('_summary')

    def __init__(
        self, *, code: str, severity: Severity, summary: str, check: Check
    ) -> None:
        self._code = code
        self._severity = severity
        self._summary = summary
        self._check = check


RULES: Registry[str, Rule] = Registry(name='rules of the configuration check')


def rule(
    code: str, severity: Severity, summary: str
) -> Callable[[Check], Check]:
    """Return a decorator that registers a check as a rule."""

    def decorate(check: Check) -> Check:  # noqa: WPS430
        RULES.add(code)(
            Rule(code=code, severity=severity, summary=summary, check=check)
        )
        return check

    return decorate


def check_configuration(checked: CheckInput) -> tuple[CodedFinding, ...]:
    """Return the findings of all rules, in order of the rules."""
    return tuple(
        CodedFinding(code=code, severity=found_by.severity, finding=finding)
        for code, found_by in _list_rules()
        for finding in found_by.check(checked)
    )


def _list_rules() -> Iterator[tuple[str, Rule]]:
    for code in RULES:
        yield code, RULES.find(code)
