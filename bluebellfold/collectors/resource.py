"""Describe a process as an OpenTelemetry resource."""

from opentelemetry.sdk.resources import Resource

from bluebellfold.collectors.samples import Source


def create_resource(source: Source) -> Resource:
    """Return the resource of the metrics and spans of a process."""
    return Resource(
        {
            'service.name': f'bluebellfold-{source.role}',
            'service.instance.id': source.process,
            'cloud.availability_zone': source.zone,
            'bluebellfold.service': source.service,
        },
    )
