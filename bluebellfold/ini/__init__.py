"""Read and validate settings in INI format."""

from bluebellfold.ini.reading import (
    LOAD_SPEC,
    OPERATORS_PACKAGE,
    IniSource,
    parse_ini,
    read_source,
    read_spec,
    read_text,
    read_validated,
    validate_values,
)
from bluebellfold.ini.value_checks import (
    VALUE_CHECKS,
    InvalidValueError,
    check_endpoint,
    make_validator,
)
from bluebellfold.ini.violation import (
    Violation,
    format_sections,
    raise_first,
    use_address_in,
    use_one_of,
)

__all__ = (
    'Violation',
    'IniSource',
    'InvalidValueError',
    'LOAD_SPEC',
    'OPERATORS_PACKAGE',
    'VALUE_CHECKS',
    'check_endpoint',
    'validate_values',
    'make_validator',
    'parse_ini',
    'raise_first',
    'read_validated',
    'read_source',
    'read_spec',
    'read_text',
    'format_sections',
    'use_address_in',
    'use_one_of',
)
