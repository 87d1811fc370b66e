"""Run the load generator, and show and save its measurements."""

import asyncio

from bluebellfold.callers.load import (
    Measurements,
    encode_measurements,
    format_measurements,
    run_load,
)
from bluebellfold.operators.exit_codes import SUCCEEDED
from bluebellfold.operators.invocation import write_output
from bluebellfold.operators.load_settings import (
    LoadSettings,
    load_load_settings,
)


def run_load_file(path: str) -> int:
    """Run the load that a settings file describes."""
    settings = load_load_settings(path)
    measurements = asyncio.run(run_load(settings.plan))
    for line in format_measurements(measurements):
        write_output(line)
    if settings.measures is not None:
        settings.measures.write_text(
            encode_measurements(measurements),
            encoding='utf-8',
        )
    _save_plot(settings, measurements)
    return SUCCEEDED


def _save_plot(settings: LoadSettings, measurements: Measurements) -> None:
    if settings.plot is None:
        return
    # The import of matplotlib needs 1 s, and only the plot uses it.
    from bluebellfold.callers.load.plot import (  # noqa: WPS433
        plot_measurements,
    )

    plot_measurements(measurements, settings.plot)
