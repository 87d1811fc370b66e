"""Parse command-line values by the type of their argument.

By default fire parses values as Python literals: the name ``1e5`` would
become a number.
"""

from fire.core import FireError
from fire.decorators import SetParseFn


# fire passes a flag without a value on as one of these.
FLAG_TEXTS = ('True', 'False')


def parse_version(text: str) -> int:
    """Return a version, 0 or greater, or raise FireError.

    >>> parse_version('7')
    7
    """
    if text.isdecimal():
        return int(text)
    raise FireError(f'{text!r} is not a version; give a whole number')


def parse_flag(text: str) -> bool:
    """Return whether a flag is set, or raise FireError.

    >>> parse_flag('True'), parse_flag('False')
    (True, False)
    """
    if text in FLAG_TEXTS:
        return text == 'True'
    raise FireError(
        f'{text!r} is no value of a flag; give flags last, without a value'
    )


def parse_seconds(text: str) -> float:
    """Return a duration in seconds, 0 or greater, or raise FireError.

    >>> parse_seconds('2.5')
    2.5
    """
    if text.replace('.', '', 1).isdecimal():
        return float(text)
    raise FireError(f'{text!r} is not a duration; give seconds, such as 30')


# Without names it holds for all arguments, also of a variable number.
text_arguments = SetParseFn(str)
path_arguments = SetParseFn(
    str, 'base', 'site', 'process', 'path', 'settings', 'against'
)
name_arguments = SetParseFn(str, 'name', 'operation', 'store', 'regions')
flag_arguments = SetParseFn(parse_flag, 'json', 'flagged')
version_argument = SetParseFn(parse_version, 'version')
deadline_argument = SetParseFn(parse_seconds, 'deadline', 'drain_seconds')
