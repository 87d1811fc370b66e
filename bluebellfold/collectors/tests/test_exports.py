"""Test the export of metrics and traces to files."""

import json
import subprocess
import sys

import pytest

from bluebellfold.collectors import (
    Attribute,
    CollectorSettings,
    NoMetrics,
    NoTraces,
    Sample,
    Source,
    Span,
    open_metrics,
    open_traces,
)
from bluebellfold.collectors.spans import is_traced, trace_id_of
from bluebellfold.core import Count, SettingsError

AGENT = Source(process='a1', role='agent', zone='wa-south-a', service='counter')


def file_settings(directory, **changes):
    return CollectorSettings(
        metrics='file',
        traces='file',
        directory=str(directory),
        metrics_seconds=60,
        **changes,
    )


def read_lines(path):
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_metrics_are_written_to_the_file(tmp_path):
    metrics = open_metrics(file_settings(tmp_path), AGENT)
    metrics.observe(
        Sample(flows=3, drops=(Count(name='late', times=2),), slots=0.5),
    )
    metrics.close()
    line = read_lines(tmp_path / 'a1.metrics.jsonl')[0]
    resource = line['resource_metrics'][0]
    assert resource['resource']['attributes']['service.instance.id'] == 'a1'
    points = {
        metric['name']: metric['data']['data_points']
        for metric in resource['scope_metrics'][0]['metrics']
    }
    assert points['bluebellfold.flows'][0]['value'] == 3
    assert points['bluebellfold.drops'][0]['value'] == 2
    assert points['bluebellfold.drops'][0]['attributes'] == {'reason': 'late'}


def test_spans_of_two_processes_share_a_trace(tmp_path):
    balancer = Source(process='b1', role='balancer', zone='wa-south-a')
    balancer_traces = open_traces(file_settings(tmp_path), balancer)
    agent_traces = open_traces(file_settings(tmp_path), AGENT)
    times = {'flow': b'key', 'started_at': 1.0, 'ended_at': 2.0}
    balancer_traces.record(Span(name='balancer.first_flight', **times))
    agent_traces.record(Span(name='agent.flow', owner=True, **times))
    agent_traces.record(
        Span(name='agent.request', request=0, owner=True, **times)
    )
    status = Attribute(name='status', attribute_value=200)
    agent_traces.record(
        Span(
            name='upstream.exchange', request=0, attributes=(status,), **times
        ),
    )
    balancer_traces.close()
    agent_traces.close()
    first_flight = read_lines(tmp_path / 'b1.traces.jsonl')[0]
    flow, request, exchange = read_lines(tmp_path / 'a1.traces.jsonl')
    spans = (first_flight, flow, request, exchange)
    assert len({span['context']['trace_id'] for span in spans}) == 1
    assert flow['parent_id'] is None
    assert first_flight['parent_id'] == flow['context']['span_id']
    assert request['parent_id'] == flow['context']['span_id']
    assert exchange['parent_id'] == request['context']['span_id']
    assert exchange['attributes'] == {'status': 200}


def test_sampling_depends_only_on_flow_and_share(tmp_path):
    flows = [b'%d' % number for number in range(1000)]
    sampled = [flow for flow in flows if is_traced(flow, 0.25)]
    assert 200 < len(sampled) < 300
    assert all(is_traced(flow, 0.5) for flow in sampled)
    assert len({trace_id_of(flow) for flow in flows}) == 1000


def test_sdk_is_not_imported_without_an_exporter():
    code = (
        'import sys; import bluebellfold.collectors as c;'
        's = c.Source(process="b", role="balancer", zone="z");'
        'c.open_metrics(c.CollectorSettings(), s);'
        'c.open_traces(c.CollectorSettings(), s);'
        'sys.exit("opentelemetry" in sys.modules)'
    )
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0
    settings = CollectorSettings()
    assert isinstance(open_metrics(settings, AGENT), NoMetrics)
    assert not open_traces(settings, AGENT).is_traced(b'key')
    assert isinstance(open_traces(settings, AGENT), NoTraces)


def test_unwritable_directory_raises_settings_error(tmp_path):
    blocked = tmp_path / 'file'
    blocked.write_text('')
    with pytest.raises(SettingsError, match='directory'):
        open_metrics(file_settings(blocked), AGENT)
