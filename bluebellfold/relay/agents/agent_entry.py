"""Describe an agent as it is listed in the store."""

from bluebellfold.core import Record, read_only

Address = tuple[str, int]


class AgentEntry(Record):
    """Name an agent's address, and the service and zone of its upstream.

    ``service`` and ``zone`` are empty if the entry doesn't tell them.
    """

    __slots__ = ('_address', '_service', '_zone')

    address: Address = read_only('_address')
    service: str = read_only('_service')
    zone: str = read_only('_zone')

    def __init__(
        self, *, address: Address, service: str = '', zone: str = ''
    ) -> None:
        self._address = address
        self._service = service
        self._zone = zone
