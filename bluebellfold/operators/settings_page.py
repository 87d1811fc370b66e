"""Write the settings reference from the validation specs."""

from collections.abc import Iterator
from typing import Any

from bluebellfold.ini import LOAD_SPEC, OPERATORS, read_spec
from bluebellfold.ini.complaint import show_sections
from bluebellfold.operators.process_settings import PROCESS_SPEC
from bluebellfold.operators.settings import SITE_SPEC
from bluebellfold.relay.operators import AGENT_SPEC, BALANCER_SPEC
from bluebellfold.relay.operators import PACKAGE as RELAY

MANY = '__many__'
TITLES = (
    (OPERATORS, SITE_SPEC, 'Base file and overlay'),
    (OPERATORS, PROCESS_SPEC, 'Process file'),
    (OPERATORS, LOAD_SPEC, 'Load file'),
    (RELAY, BALANCER_SPEC, 'Balancer that relays packets'),
    (RELAY, AGENT_SPEC, 'Agent that relays packets'),
)
HEADINGS = ('', '| key | check | meaning |', '|---|---|---|')


def write_settings_reference() -> str:
    """Return the reference in Markdown."""
    lines: list[str] = []
    for package, spec, title in TITLES:
        lines.extend(('', f'### {title}'))
        lines.extend(_sections(read_spec(spec, package=package), ()))
    return '\n'.join((*lines, ''))


def _sections(section: Any, path: tuple[str, ...]) -> Iterator[str]:
    for name in section.sections:
        inner = section[name]
        inner_path = (*path, 'NAME' if name == MANY else name)
        if inner.scalars:
            yield from _table(inner, inner_path)
        yield from _sections(inner, inner_path)


def _table(section: Any, path: tuple[str, ...]) -> Iterator[str]:
    heading = show_sections(path)
    yield ''
    yield f'`{heading}`'
    yield from HEADINGS
    for key in section.scalars:
        meaning = ' '.join(_uncomment(line) for line in section.comments[key])
        yield f'| `{key}` | `{section[key]}` | {meaning.strip()} |'


def _uncomment(line: str) -> str:
    return line.strip().lstrip('#').strip()
