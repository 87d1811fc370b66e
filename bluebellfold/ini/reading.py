"""Read INI files and validate them against a spec."""

from collections.abc import Iterable, Iterator
from importlib import resources
from pathlib import Path
from typing import Any

from configobj import (
    ConfigObj,
    ConfigObjError,
    flatten_errors,
    get_extra_values,
)

from bluebellfold.core import SettingsError
from bluebellfold.ini.value_checks import make_validator
from bluebellfold.ini.violation import Violation, raise_first

OPERATORS_PACKAGE = 'bluebellfold.operators'
LOAD_SPEC = 'load.spec.ini'


class IniSource:
    """Hold the parsed sections of one INI file and its name."""

    __slots__ = ('_name', '_parsed')

    def __init__(self, *, name: str, text: str) -> None:
        self._name = name
        try:
            self._parsed = parse_ini(text)
        except ConfigObjError as error:
            raise SettingsError(
                problem=f'{name}: {error}',
                remedy='use [section] headings and key = value lines',
            ) from None

    @property
    def name(self) -> str:
        """Return the file's name, for error messages."""
        return self._name

    @property
    def parsed(self) -> ConfigObj:
        """Return the parsed sections."""
        return self._parsed

    def defines(self, sections: Iterable[str], key: str) -> bool:
        """Return whether the file defines the key.

        An empty ``key`` stands for the section itself.
        """
        section: Any = self._parsed
        for name in sections:
            section = section.get(name)
            if not isinstance(section, dict):
                return False
        return not key or key in section


def parse_ini(text: str) -> ConfigObj:
    """Return the sections of an INI text, or raise ConfigObjError."""
    return ConfigObj(text.splitlines(), interpolation=False)


def read_source(path: str | Path) -> IniSource:
    """Read and parse an INI file, or raise SettingsError."""
    return IniSource(name=str(path), text=read_text(path))


def read_text(path: str | Path) -> str:
    """Return the text of a file, or raise SettingsError."""
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            problem=f'{path}: can not be read: {error}',
            remedy='give the path of a readable UTF-8 file',
        ) from None


def read_spec(name: str, *, package: str = OPERATORS_PACKAGE) -> ConfigObj:
    """Return a validation spec from the files of a package."""
    text = resources.files(package).joinpath(name).read_text(encoding='utf-8')
    return ConfigObj(
        text.splitlines(),
        interpolation=False,
        list_values=False,
        _inspec=True,
    )


def read_validated(
    path: str | Path, spec_name: str, *, package: str = OPERATORS_PACKAGE
) -> dict[str, Any]:
    """Return the sections of a valid file, or raise SettingsError.

    Values are converted to the types in the spec, and defaults are filled in.
    """
    source = read_source(path)
    violations = validate_values(
        source.parsed, read_spec(spec_name, package=package)
    )
    raise_first(violations, lambda _: source.name)
    return source.parsed.dict()


def validate_values(
    parsed: ConfigObj,
    spec: ConfigObj,
) -> Iterator[Violation]:
    """Convert the values in place, and yield the violations of the spec."""
    parsed.configspec = spec
    outcome = parsed.validate(make_validator(), preserve_errors=True)
    for sections, key in get_extra_values(parsed):
        yield _unknown_entry(parsed, tuple(sections), key)
    for path, invalid_key, error in flatten_errors(parsed, outcome):
        yield _invalid_value(tuple(path), invalid_key or '', error)


def _unknown_entry(
    parsed: ConfigObj,
    sections: tuple[str, ...],
    key: str,
) -> Violation:
    section: Any = parsed
    for name in sections:
        section = section[name]
    is_section = isinstance(section[key], dict)
    return Violation(
        sections=(*sections, key) if is_section else sections,
        key='' if is_section else key,
        problem='unknown section' if is_section else 'unknown key',
        remedy='remove it, or correct its spelling; see docs/OPERATING.md',
    )


def _invalid_value(
    sections: tuple[str, ...], key: str, error: Any
) -> Violation:
    if error is False:
        return Violation(
            sections=sections,
            key=key,
            problem='missing',
            remedy='add it; docs/OPERATING.md describes it',
        )
    return Violation(
        sections=sections,
        key=key,
        problem=str(error),
        remedy='give a value of the type that docs/OPERATING.md states',
    )
