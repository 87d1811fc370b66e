"""Test the schedule of requests and the aggregation of outcomes."""

import json
from itertools import pairwise

from bluebellfold.callers.load import (
    Flood,
    KindLoad,
    LoadPlan,
    Measurements,
    UpstreamZone,
    Window,
    encode_measurements,
)
from bluebellfold.callers.load.arrivals import schedule
from bluebellfold.callers.load.messages import RequestEnded

ORDER = KindLoad(
    name='order',
    balancers=(),
    method='POST',
    path='/order',
    rate=50,
    streams=0,
    flows=4,
    body_bytes=10,
    work_ms=5,
    timeout_seconds=10,
)
CALM = Window(name='calm', begins=0, ends=20)
FLOODED = Window(name='flooded', begins=20, ends=40)
PLAN = LoadPlan(
    seed=1,
    seconds=40,
    workers=2,
    upstream_field='upstream',
    kinds=(ORDER, ORDER.replace(name='feed', rate=0, streams=3)),
    floods=(Flood(kind='order', rate=450, window=FLOODED),),
    windows=(CALM, FLOODED),
    upstream_zones=(
        UpstreamZone(name='one', zone='a'),
        UpstreamZone(name='two', zone='a'),
    ),
)


def request_ended(sent_at: float, outcome: str, **fields) -> RequestEnded:
    return RequestEnded(
        kind='order',
        request_id=f'order-{sent_at}',
        sent_at=sent_at,
        lag_seconds=0.001,
        seconds=0.25,
        outcome=outcome,
        **fields,
    )


def test_arrivals_are_ordered_and_match_configured_rates():
    arrivals = schedule(PLAN)
    due = [arrival.due_at for arrival in arrivals]
    assert all(first <= second for first, second in pairwise(due))
    calm = sum(map(CALM.contains, due)) / CALM.seconds
    flooded = sum(map(FLOODED.contains, due)) / FLOODED.seconds
    assert 45 < calm < 55
    assert 475 < flooded < 525


def test_same_seed_gives_same_arrivals():
    assert schedule(PLAN) == schedule(PLAN)
    assert schedule(PLAN) != schedule(PLAN.replace(seed=2))


def test_requests_are_counted_by_window_and_outcome():
    measurements = Measurements(PLAN)
    measurements.record(
        request_ended(1, 'answered', reason='200', upstream='one')
    )
    measurements.record(
        request_ended(21, 'answered', reason='200', upstream='two')
    )
    measurements.record(request_ended(22, 'not-run', reason='queue-too-long'))
    measurements.streams_of('feed').record_opened('one')
    measurements.streams_of('feed').record_opened('two')
    measurements.streams_of('feed').record_broken('cut')
    report = json.loads(encode_measurements(measurements))
    calm, flooded = report['requests']
    assert calm['by_upstream'] == {'one': 1}
    assert calm['refused_ms']['count'] == 0
    assert flooded['outcomes'] == {
        'answered.200': 1,
        'not-run.queue-too-long': 1,
    }
    assert flooded['by_zone'] == {'a': 1}
    assert report['refused_ids'] == ['order-22']
    assert report['streams'][0]['held'] == 1
    assert report['streams'][0]['max_over_mean_zones'] == 1
