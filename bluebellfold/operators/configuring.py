"""Check, compare and apply a site's configuration."""

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from bluebellfold.core import Endpoint, SettingsError
from bluebellfold.ini.complaint import raise_first
from bluebellfold.operators.apply import (
    NO_VERSION,
    Change,
    ObjectStore,
    apply_change,
    object_name,
    read_change,
)
from bluebellfold.operators.invocation import complain, say
from bluebellfold.operators.settings import load_site, parse_site
from bluebellfold.operators.site_settings import SiteSettings
from bluebellfold.operators.transition_checks import (
    complaints_about_transition,
)
from bluebellfold.store import Backoff, ObjectClient


def check_files(base: str, site: str) -> None:
    """Check both files and say what they describe."""
    described = load_site(base, site).site
    services = len(described.services)
    kinds = len(described.kinds)
    say(f'{described.name}: {services} services, {kinds} kinds of work: good')


async def show_difference(base: str, site: str) -> None:
    """Say what applying the files would change."""
    settings = load_site(base, site)
    async with open_store(settings.site.platform) as store:
        change = await _read(store, settings)
    _say_change(change)
    _check_transition(change, site)


async def apply_files(
    base: str,
    site: str,
    *,
    version: int | None,
    operation: str,
) -> None:
    """Show the change, write it and say the version in force."""
    settings = load_site(base, site)
    async with open_store(settings.site.platform) as store:
        change = await _read(store, settings)
        _say_change(change)
        _check_transition(change, site)
        application = await apply_change(
            store,
            change,
            operation=operation or uuid.uuid4().hex,
            expected_version=version,
        )
    say(f'{application.outcome}: version {application.version} is in force')


async def show_history(base: str, site: str) -> None:
    """Say the late versions of the configuration, newest last."""
    settings = load_site(base, site)
    async with open_store(settings.site.platform) as store:
        entries = await store.history(object_name(settings.site.name))
    for entry in entries:
        say(f'version {entry.version}  operation {entry.operation}')


@asynccontextmanager
async def open_store(endpoint: Endpoint) -> AsyncIterator[ObjectStore]:
    """Lend a client of the platform's object API."""
    client = ObjectClient(
        endpoint=endpoint,
        backoff=Backoff(randomness=Random()),
    )
    try:
        yield client
    finally:
        client.close()


async def _read(store: ObjectStore, settings: SiteSettings) -> Change:
    return await read_change(
        store,
        site=settings.site.name,
        text=settings.text,
    )


def _check_transition(change: Change, overlay: str) -> None:
    if change.version == NO_VERSION:
        return
    try:
        former = parse_site(change.old)
    except SettingsError as error:
        complain(f'the text in force is not compared: {error}')
        return
    complaints = complaints_about_transition(former, parse_site(change.new))
    raise_first(complaints, lambda _: overlay)


def _say_change(change: Change) -> None:
    if change.empty:
        say(f'{change.name}: no difference to version {change.version}')
        return
    say(change.diff())
