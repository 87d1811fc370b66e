"""Render the page of events from the catalogue."""

import logging

from bluebellfold.collectors import catalogue  # noqa: F401
from bluebellfold.collectors.events import EVENTS, Event

PREFACE = """# Events

Each log line is a JSON object. `event` is the number of the event, `remedy`
the recommended action. This page is generated from the catalogue in
`bluebellfold/collectors` by `python -m scripts.pages`.

| event | level | meaning | remedy |
|---|---|---|---|"""


def render_event_page() -> str:
    """Return the page in Markdown, ordered by number."""
    rows = [_row(EVENTS.find(number)) for number in sorted(EVENTS)]
    return '\n'.join((PREFACE, *rows, ''))


def _row(event: Event) -> str:
    level = logging.getLevelName(event.level).lower()
    return f'| {event.number} | {level} | {event.meaning} | {event.remedy} |'
