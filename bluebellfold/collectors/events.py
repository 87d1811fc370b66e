"""Describe the numbered events that the system logs."""

import logging

from bluebellfold.core import Record, Registry, read_only


class Event(Record):
    """Hold an event's number, log level, meaning and remedy."""

    __slots__ = ('_level', '_meaning', '_number', '_remedy')

    level: int = read_only('_level')
    meaning: str = read_only('_meaning')
    number: str = read_only('_number')
    remedy: str = read_only('_remedy')

    def __init__(
        self,
        *,
        number: str,
        level: int,
        meaning: str,
        remedy: str,
    ) -> None:
        self._number = number
        self._level = level
        self._meaning = meaning
        self._remedy = remedy


EVENTS: Registry[str, Event] = Registry(name='events')

UNKNOWN_EVENT = Event(
    number='BBF0100',
    level=logging.ERROR,
    meaning='an event was logged whose number is not in the catalogue',
    remedy='add the number to the catalogue of events',
)


def register(*, number: str, level: int, meaning: str, remedy: str) -> None:
    """Add an event to the catalogue."""
    EVENTS.add(number)(
        Event(number=number, level=level, meaning=meaning, remedy=remedy),
    )


def find_event(number: str) -> Event:
    """Return the event with the number, or UNKNOWN_EVENT."""
    if number in EVENTS:
        return EVENTS.find(number)
    return UNKNOWN_EVENT
