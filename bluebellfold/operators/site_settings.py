"""Define the settings of a site."""

import ipaddress

from bluebellfold.collectors import CollectorSettings
from bluebellfold.core import Record, Site, read_only


class SiteSettings(Record):
    """Hold a site with its merged settings text, networks and collectors.

    ``text`` becomes the text of a Configuration.
    """

    __slots__ = ('_collectors', '_networks', '_site', '_text')

    collectors: CollectorSettings = read_only('_collectors')
    networks: tuple[str, ...] = read_only('_networks')
    site: Site = read_only('_site')
    text: str = read_only('_text')

    def __init__(
        self,
        *,
        site: Site,
        text: str,
        networks: tuple[str, ...],
        collectors: CollectorSettings,
    ) -> None:
        self._site = site
        self._text = text
        self._networks = networks
        self._collectors = collectors

    def contains_address(self, host: str) -> bool:
        """Return whether an IP address is in one of the site's networks."""
        address = ipaddress.ip_address(host)
        return any(
            address in ipaddress.ip_network(network)
            for network in self._networks
        )
