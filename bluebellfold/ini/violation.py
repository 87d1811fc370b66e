"""Describe invalid settings and where they are."""

from collections.abc import Callable, Iterator

from bluebellfold.core import Record, SettingsError, read_only


class Violation(Record):
    """Describe a problem with a section or key, and the remedy."""

    __slots__ = ('_key', '_problem', '_remedy', '_sections')

    key: str = read_only('_key')
    problem: str = read_only('_problem')
    remedy: str = read_only('_remedy')
    sections: tuple[str, ...] = read_only('_sections')

    def __init__(
        self,
        *,
        sections: tuple[str, ...],
        key: str,
        problem: str,
        remedy: str,
    ) -> None:
        self._sections = sections
        self._key = key
        self._problem = problem
        self._remedy = remedy

    def as_error(self, source: str) -> SettingsError:
        """Return an error that also names the source file.

        >>> Violation(
        ...     sections=('kinds', 'feed'),
        ...     key='port',
        ...     problem='port 1 is taken by order',
        ...     remedy='choose another port',
        ... ).as_error('site.ini').problem
        'site.ini, [kinds] [[feed]] port: port 1 is taken by order'
        """
        heading = format_sections(self._sections)
        location = f'{heading} {self._key}'.strip()
        return SettingsError(
            problem=f'{source}, {location}: {self._problem}',
            remedy=self._remedy,
        )


def format_sections(sections: tuple[str, ...]) -> str:
    """Return the headings of nested sections in INI syntax.

    >>> format_sections(('kinds', 'feed'))
    '[kinds] [[feed]]'
    """
    return ' '.join(
        '[' * depth + name + ']' * depth
        for depth, name in enumerate(sections, start=1)
    )


def raise_first(
    violations: Iterator[Violation],
    source_of: Callable[[Violation], str],
) -> None:
    """Raise the first violation as a SettingsError, if there is one."""
    violation = next(violations, None)
    if violation is not None:
        raise violation.as_error(source_of(violation))


def use_one_of(names: tuple[str, ...]) -> str:
    """Return a remedy that lists the valid names."""
    listed = ', '.join(names)
    return f'use one of: {listed}'


def use_address_in(networks: tuple[str, ...]) -> str:
    """Return a remedy that lists the site's networks."""
    listed = ', '.join(networks)
    return f'use an address in: {listed}'
