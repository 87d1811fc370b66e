"""Generate the page of reasons from the sentinels of all packages."""

import importlib
import inspect
import pkgutil
from collections.abc import Iterator

import bluebellfold
from bluebellfold.core import Sentinel

PREFACE = """# Reasons

Reasons for drops, refusals and operations without effect. `status` and the
metrics count by these names, and log lines have them as `reason`. This page
is generated from the code by `python -m scripts.pages`.

| name | reason |
|---|---|"""
EXCLUDED_PACKAGES = ('.tests', '.standins')


def write_reasons_page() -> str:
    """Return the page in Markdown, sorted by name."""
    return '\n'.join((PREFACE, *sorted(set(_rows())), ''))


def _rows() -> Iterator[str]:
    for module_name in _module_names():
        module = importlib.import_module(module_name)
        for _, reason in inspect.getmembers(module, _is_sentinel):
            yield f'| `{reason.name}` | {reason.reason} |'


def _is_sentinel(entry: object) -> bool:
    return isinstance(entry, Sentinel)


def _module_names() -> Iterator[str]:
    packages = pkgutil.walk_packages(
        bluebellfold.__path__,
        f'{bluebellfold.__name__}.',
    )
    for module in packages:
        excluded = any(part in module.name for part in EXCLUDED_PACKAGES)
        if not excluded and not module.ispkg:
            yield module.name
