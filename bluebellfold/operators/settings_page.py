"""Generate the settings reference from the validation specs."""

from collections.abc import Iterator
from typing import Any

from bluebellfold.ini import LOAD_SPEC, OPERATORS_PACKAGE, read_spec
from bluebellfold.ini.violation import format_sections
from bluebellfold.operators.process_settings import PROCESS_SPEC
from bluebellfold.operators.settings import SITE_SPEC
from bluebellfold.relay.operators import AGENT_SPEC, BALANCER_SPEC
from bluebellfold.relay.operators import PACKAGE as RELAY

MANY = '__many__'
SPECS = (
    (OPERATORS_PACKAGE, SITE_SPEC, 'Base file and overlay'),
    (OPERATORS_PACKAGE, PROCESS_SPEC, 'Process file'),
    (OPERATORS_PACKAGE, LOAD_SPEC, 'Load file'),
    (RELAY, BALANCER_SPEC, 'Balancer of the packet relay'),
    (RELAY, AGENT_SPEC, 'Agent of the packet relay'),
)
TABLE_HEADER = ('', '| key | check | meaning |', '|---|---|---|')


def write_settings_reference() -> str:
    """Return the reference in Markdown."""
    lines: list[str] = []
    for package, spec, title in SPECS:
        lines.extend(('', f'### {title}'))
        lines.extend(_section_lines(read_spec(spec, package=package), ()))
    return '\n'.join((*lines, ''))


def _section_lines(section: Any, path: tuple[str, ...]) -> Iterator[str]:
    for name in section.sections:
        inner = section[name]
        inner_path = (*path, 'NAME' if name == MANY else name)
        if inner.scalars:
            yield from _table_lines(inner, inner_path)
        yield from _section_lines(inner, inner_path)


def _table_lines(section: Any, path: tuple[str, ...]) -> Iterator[str]:
    heading = format_sections(path)
    yield ''
    yield f'`{heading}`'
    yield from TABLE_HEADER
    for key in section.scalars:
        meaning = ' '.join(
            _comment_text(line) for line in section.comments[key]
        )
        yield f'| `{key}` | `{section[key]}` | {meaning.strip()} |'


def _comment_text(line: str) -> str:
    return line.strip().lstrip('#').strip()
