"""Generate the documentation pages that come from the code."""

from pathlib import Path

from bluebellfold.collectors import render_event_page
from bluebellfold.operators.checks_page import write_checks_page
from bluebellfold.operators.reasons_page import write_reasons_page
from bluebellfold.operators.settings_page import write_settings_reference

DOCS = Path(__file__).parents[1] / 'docs'
REFERENCE_START = '<!-- made by scripts.pages: settings -->\n'
REFERENCE_END = '<!-- end of settings -->\n'


def main() -> None:
    """Write the pages of events, reasons, checks and settings."""
    (DOCS / 'EVENTS.md').write_text(render_event_page(), encoding='utf-8')
    (DOCS / 'REASONS.md').write_text(write_reasons_page(), encoding='utf-8')
    checks = DOCS / 'CONFIG-CHECKS.md'
    checks.write_text(write_checks_page(), encoding='utf-8')
    operating = DOCS / 'OPERATING.md'
    page = operating.read_text(encoding='utf-8')
    before, _, rest = page.partition(REFERENCE_START)
    after = rest.partition(REFERENCE_END)[2]
    reference = write_settings_reference()
    operating.write_text(
        ''.join((before, REFERENCE_START, reference, REFERENCE_END, after)),
        encoding='utf-8',
    )


if __name__ == '__main__':
    main()
