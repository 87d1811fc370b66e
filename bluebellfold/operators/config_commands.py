"""Run the commands that check, compare and apply a configuration."""

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from bluebellfold.core import Endpoint, SettingsError
from bluebellfold.ini.violation import raise_first
from bluebellfold.operators.apply import (
    NO_VERSION,
    Change,
    ObjectStore,
    apply_change,
    configuration_object_name,
    read_change,
)
from bluebellfold.operators.check_commands import (
    CheckOptions,
    check_document,
    is_json_file,
)
from bluebellfold.operators.exit_codes import SUCCEEDED
from bluebellfold.operators.invocation import write_error, write_output
from bluebellfold.operators.settings import load_site, parse_site
from bluebellfold.operators.site_settings import SiteSettings
from bluebellfold.operators.transition_checks import (
    validate_transition,
)
from bluebellfold.store import Backoff, ObjectClient


def check_either(base: str, site: str, options: CheckOptions) -> int:
    """Check a JSON document or the settings of a site, by the content."""
    if not site:
        return check_document(base, options)
    if is_json_file(base):
        raise SettingsError(
            problem=f'{base} is a JSON document, which has no overlay',
            remedy='give the document alone, or two files of settings',
        )
    if options != CheckOptions():
        raise SettingsError(
            problem='an option for JSON documents is given with settings',
            remedy='give only the base file and the overlay',
        )
    check_files(base, site)
    return SUCCEEDED


def check_files(base: str, overlay: str) -> None:
    """Validate both files and write a summary of the site."""
    site = load_site(base, overlay).site
    services = len(site.services)
    kinds = len(site.kinds)
    write_output(
        f'{site.name}: {services} services, {kinds} kinds of work: valid'
    )


async def show_difference(base: str, overlay: str) -> None:
    """Write the changes that applying the files would make."""
    settings = load_site(base, overlay)
    async with open_store(settings.site.platform) as store:
        change = await _read_change(store, settings)
    _write_change(change)
    _check_transition(change, overlay)


async def apply_files(
    base: str,
    overlay: str,
    *,
    version: int | None,
    operation: str,
) -> None:
    """Write out the change, apply it and write the version in force."""
    settings = load_site(base, overlay)
    async with open_store(settings.site.platform) as store:
        change = await _read_change(store, settings)
        _write_change(change)
        _check_transition(change, overlay)
        applied = await apply_change(
            store,
            change,
            operation=operation or uuid.uuid4().hex,
            expected_version=version,
        )
    write_output(f'{applied.outcome}: version {applied.version} is in force')


async def show_history(base: str, overlay: str) -> None:
    """Write the recent versions of the configuration, newest last."""
    settings = load_site(base, overlay)
    async with open_store(settings.site.platform) as store:
        entries = await store.history(
            configuration_object_name(settings.site.name)
        )
    for entry in entries:
        write_output(f'version {entry.version}  operation {entry.operation}')


@asynccontextmanager
async def open_store(endpoint: Endpoint) -> AsyncIterator[ObjectStore]:
    """Open a client of the platform's object API and close it on exit."""
    client = ObjectClient(
        endpoint=endpoint,
        backoff=Backoff(randomness=Random()),
    )
    try:
        yield client
    finally:
        client.close()


async def _read_change(store: ObjectStore, settings: SiteSettings) -> Change:
    return await read_change(
        store,
        site=settings.site.name,
        text=settings.text,
    )


def _check_transition(change: Change, overlay: str) -> None:
    if change.version == NO_VERSION:
        return
    try:
        current = parse_site(change.old_text)
    except SettingsError as error:
        write_error(f'comparison with version in force skipped: {error}')
        return
    violations = validate_transition(current, parse_site(change.new_text))
    raise_first(violations, lambda _: overlay)


def _write_change(change: Change) -> None:
    if change.empty:
        write_output(
            f'{change.name}: no difference to version {change.version}'
        )
        return
    write_output(change.diff())
