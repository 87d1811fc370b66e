"""Plot the measurements of a run."""

from pathlib import Path

from matplotlib.figure import Figure

from bluebellfold.callers.load.codec import P99
from bluebellfold.callers.load.measurements import Measurements

SIZE_INCHES = (9.0, 7.0)
BAR_HEIGHT = 0.4


def plot_measurements(measurements: Measurements, path: Path) -> None:
    """Write a PNG with the goodput, latency and refusals of each window."""
    figure = Figure(figsize=SIZE_INCHES, layout='constrained')
    goodput, latency, refusal = figure.subplots(3, 1, sharey=True)
    names = [
        ' '.join((requests.window.name, requests.kind))
        for requests in measurements.requests
    ]
    goodput.barh(
        names,
        [requests.goodput for requests in measurements.requests],
        height=BAR_HEIGHT,
    )
    goodput.set_xlabel('answered requests per second')
    latency.barh(
        names,
        [
            requests.answered.percentile_ms(P99)
            for requests in measurements.requests
        ],
        height=BAR_HEIGHT,
    )
    latency.set_xlabel('p99 latency of answered requests, ms')
    refusal.barh(
        names,
        [
            requests.refused.percentile_ms(P99)
            for requests in measurements.requests
        ],
        height=BAR_HEIGHT,
    )
    refusal.set_xlabel('p99 latency of refusals, ms')
    figure.savefig(path)
