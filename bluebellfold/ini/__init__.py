"""Read and validate settings in INI format."""

from bluebellfold.ini.complaint import (
    Complaint,
    raise_first,
    show_sections,
    use_address_in,
    use_one_of,
)
from bluebellfold.ini.reading import (
    LOAD_SPEC,
    OPERATORS,
    IniSource,
    complaints_about_values,
    parse_ini,
    read_checked,
    read_source,
    read_spec,
    read_text,
)
from bluebellfold.ini.value_checks import (
    VALUE_CHECKS,
    InvalidValueError,
    check_endpoint,
    make_validator,
)

__all__ = (
    'Complaint',
    'IniSource',
    'InvalidValueError',
    'LOAD_SPEC',
    'OPERATORS',
    'VALUE_CHECKS',
    'check_endpoint',
    'complaints_about_values',
    'make_validator',
    'parse_ini',
    'raise_first',
    'read_checked',
    'read_source',
    'read_spec',
    'read_text',
    'show_sections',
    'use_address_in',
    'use_one_of',
)
