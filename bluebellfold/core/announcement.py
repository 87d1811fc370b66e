"""Describe the state that an upstream announces."""

from bluebellfold.core.record import Record, read_only


class Announcement(Record):
    """Carry one announcement of an upstream.

    ``born`` identifies the upstream's incarnation: its start time in
    milliseconds since the epoch by the clock of its VM, 0 if unknown.
    ``sequence`` increases with each announcement of one incarnation.
    ``warmup_seconds`` is the remaining time in which the upstream is slower
    after its start.
    """

    __slots__ = (
        '_born',
        '_draining',
        '_name',
        '_sequence',
        '_service',
        '_slots',
        '_warmup_seconds',
    )

    born: int = read_only('_born')
    draining: bool = read_only('_draining')
    name: str = read_only('_name')
    sequence: int = read_only('_sequence')
    service: str = read_only('_service')
    slots: int = read_only('_slots')
    warmup_seconds: float = read_only('_warmup_seconds')

    def __init__(
        self,
        *,
        name: str,
        service: str,
        slots: int,
        draining: bool,
        warmup_seconds: float,
        born: int,
        sequence: int,
    ) -> None:
        self._name = name
        self._service = service
        self._slots = slots
        self._draining = draining
        self._warmup_seconds = warmup_seconds
        self._born = born
        self._sequence = sequence

    @property
    def start(self) -> tuple[str, int]:
        """Return the name and the start time, which identify a start."""
        return (self._name, self._born)
