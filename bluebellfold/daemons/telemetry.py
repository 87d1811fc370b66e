"""Connect a process to the collectors selected in its settings."""

from bluebellfold.collectors import NO_EXPORTER, Source, open_metrics
from bluebellfold.core import Actor, Process
from bluebellfold.operators import MetricsTask, SiteSettings

AGENT_ROLE = 'agent'
BALANCER_ROLE = 'balancer'


def telemetry_source(process: Process) -> Source:
    """Return the names that identify the process in metrics and traces."""
    return Source(
        process=process.name,
        role=AGENT_ROLE if process.service else BALANCER_ROLE,
        zone=process.zone,
        service=process.service,
    )


def metrics_tasks(
    settings: SiteSettings,
    process: Process,
    *,
    status_source: Actor,
) -> tuple[Actor, ...]:
    """Return the task that exports metrics, if an exporter is set."""
    collectors = settings.collectors
    if collectors.metrics == NO_EXPORTER:
        return ()
    return (
        MetricsTask(
            status_source=status_source,
            metrics=open_metrics(collectors, telemetry_source(process)),
            interval_seconds=collectors.metrics_seconds,
        ),
    )
