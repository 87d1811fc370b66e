"""Generate the page of the rules of the configuration check."""

from bluebellfold.operators import (  # noqa: F401  Register their rules.
    limit_checks,
    routing_checks,
)
from bluebellfold.operators.check_rules import RULES, Rule

PREFACE = """# Configuration checks

Rules of `bluebellfold config check FILE`, for the document that the store
takes as `config/main`. An error forbids a submission, a warning doesn't. RC102
and RC103 need `--against` or `--store`, RC207 needs `--regions`, RC303 needs
`--drain-seconds`. This page is generated from the code by
`python -m scripts.pages`.

| code | severity | rule |
|---|---|---|"""


def write_checks_page() -> str:
    """Return the page in Markdown, in order of the codes."""
    rows = (_write_row(RULES.find(code)) for code in sorted(RULES))
    return '\n'.join((PREFACE, *rows, ''))


def _write_row(entry: Rule) -> str:
    severity = entry.severity.value
    return f'| `{entry.code}` | {severity} | {entry.summary} |'
