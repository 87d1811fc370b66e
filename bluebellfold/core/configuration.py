"""Describe one version of the configuration of a site."""

from bluebellfold.core.record import Record, read_only


class Configuration(Record):
    """Carry the settings of a site at one version.

    ``version`` is the platform's object version, 0 for settings that a
    process read from its files. ``operation`` identifies the write, so that
    its author can determine whether it took effect when the response was
    lost. ``text`` contains the merged settings in INI format.
    """

    __slots__ = ('_operation', '_text', '_version')

    operation: str = read_only('_operation')
    text: str = read_only('_text')
    version: int = read_only('_version')

    def __init__(self, *, version: int, operation: str, text: str) -> None:
        self._version = version
        self._operation = operation
        self._text = text
