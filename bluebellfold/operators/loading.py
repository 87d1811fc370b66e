"""Run a load from its settings, and show and save what it measured."""

import asyncio

from bluebellfold.callers.load import (
    Measurements,
    encode_measurements,
    format_measurements,
    run_load,
)
from bluebellfold.operators.exit_codes import SUCCEEDED
from bluebellfold.operators.invocation import say
from bluebellfold.operators.load_settings import LoadSettings, load_load


def run_load_file(path: str) -> int:
    """Run the load that a file describes, or raise SettingsError."""
    settings = load_load(path)
    measures = asyncio.run(run_load(settings.plan))
    for line in format_measurements(measures):
        say(line)
    if settings.measures is not None:
        settings.measures.write_text(
            encode_measurements(measures),
            encoding='utf-8',
        )
    _draw(settings, measures)
    return SUCCEEDED


def _draw(settings: LoadSettings, measures: Measurements) -> None:
    if settings.plot is None:
        return
    # matplotlib takes a second to import, and only a plot needs it.
    from bluebellfold.callers.load.plot import (  # noqa: WPS433
        plot_measurements,
    )

    plot_measurements(measures, settings.plot)
