"""Decide whether an offered configuration replaces the one in force."""

from bluebellfold.core import Configuration, Sentinel

ALREADY_IN_FORCE = Sentinel(
    name='already-in-force',
    reason='this configuration is already in force',
)
OLDER = Sentinel(
    name='older',
    reason='a newer version of the configuration is in force',
)
SAME_VERSION = Sentinel(
    name='same-version',
    reason=(
        'another operation wrote the version that is in force; '
        'compare the object in the platform '
        'with the configuration of this process'
    ),
)


def update_configuration(
    *,
    in_force: Configuration,
    offered: Configuration,
) -> Configuration | Sentinel:
    """Return the new configuration in force, or why it does not change.

    >>> first = Configuration(version=1, operation='a', text='')
    >>> update_configuration(in_force=first, offered=first).name
    'already-in-force'
    >>> update_configuration(
    ...     in_force=first, offered=first.replace(version=2)
    ... ).version
    2
    """
    if offered.version > in_force.version:
        return offered
    if offered.version < in_force.version:
        return OLDER
    if offered.operation != in_force.operation:
        return SAME_VERSION
    return ALREADY_IN_FORCE
