"""Test each rule with a document that breaks it and one that complies."""

import json
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.core import RoutingTable
from bluebellfold.operators import (  # noqa: F401  Register their rules.
    limit_checks,
    routing_checks,
)
from bluebellfold.operators.check_rules import (
    RULES,
    CheckInput,
    check_configuration,
)
from bluebellfold.operators.checks_page import write_checks_page
from bluebellfold.operators.routing_diff import Risk, compare_configurations
from bluebellfold.platform import (
    decode_routing,
    read_configuration,
    read_json,
)

PAGE = Path(__file__).parents[3] / 'docs' / 'CONFIG-CHECKS.md'
ROUTES = 12_000
# Bound of the specification page.
BOUND_SECONDS = 2.0
ROUTE = {
    'Name': 'orders',
    'Hostname': '198.18.0.1',
    'PathPrefix': '/443/',
    'Type': 'idempotent',
    'TimeoutMs': 3000,
    'TargetLatencyMs': 200,
    'Priority': 1,
    'TrafficSplit': [
        {'Service': 'counter', 'Weight': 1},
        {'Service': 'ledger', 'Weight': 1},
    ],
    'AllowedRegions': ['north', 'south'],
    'MaxAttempts': 2,
}
SERVICE = {
    'HealthPath': '/health',
    'MaxConnections': 100,
    'Protocol': 'tcp',
    'Tls': False,
    'WarmupS': 30,
    'WarmupPerS': 10,
}
DOCUMENT = {
    'Version': 8,
    'Routes': [
        ROUTE,
        {**ROUTE, 'Name': 'feed', 'PathPrefix': '/444/', 'TimeoutMs': 2000},
    ],
    'Services': [
        {**SERVICE, 'Name': 'counter'},
        {**SERVICE, 'Name': 'ledger'},
    ],
    'Limits': {
        'MaxHeaderBytes': 8192,
        'MaxBodyBytes': 65536,
        'HeaderTimeoutMs': 1000,
        'IdleTimeoutMs': 15000,
    },
}
# For each rule: the place to change, what breaks the rule, what just complies.
CASES = {
    'RC101': (('Routes', 0, 'Priority'), 256, 255),
    'RC102': (('Version',), 7, 8),
    'RC105': (('Routes', 0, 'Hostname'), '010.0.0.1', '10.0.0.1'),
    'RC201': (('Routes', 1, 'PathPrefix'), '/443/', '/442/'),
    'RC202': (('Routes', 1, 'Name'), 'orders', 'order'),
    'RC203': (
        ('Routes', 0, 'TrafficSplit'),
        [{'Service': 'counter', 'Weight': 0}],
        [{'Service': 'counter', 'Weight': 0.001}],
    ),
    'RC204': (('Routes', 0, 'TrafficSplit', 0, 'Weight'), 0, 0.001),
    'RC205': (
        ('Routes', 0, 'TrafficSplit', 0, 'Service'),
        'count',
        'counter',
    ),
    'RC206': (
        ('Services',),
        [{'Name': name} for name in ('counter', 'ledger', 'mail')],
        [{'Name': name} for name in ('counter', 'ledger')],
    ),
    'RC207': (('Routes', 0, 'AllowedRegions'), ['east'], ['east', 'north']),
    'RC301': (('Routes', 0, 'TargetLatencyMs'), 3001, 3000),
    'RC302': (('Limits', 'IdleTimeoutMs'), 2999, 3000),
    'RC303': (('Routes', 0, 'TimeoutMs'), 4001, 4000),
    'RC304': (('Services', 0, 'WarmupPerS'), 0, 0.001),
    'RC305': (('Services', 0, 'MaxConnections'), 0, 1),
}
# Rules that need more than one changed field have tests of their own.
OTHER_RULES = {'RC100', 'RC103', 'RC104'}


def change(path, replacement):
    # The routes share parts, which a deep copy would keep shared.
    document = json.loads(json.dumps(DOCUMENT))
    part = document
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = replacement
    return document


def find_codes(document, *, current=None):
    current = current or {**DOCUMENT, 'Version': 7}
    findings = check_configuration(
        CheckInput(
            configuration=read_configuration(document),
            current=read_configuration(current),
            regions=frozenset(('north', 'west')),
            drain_seconds=4.0,
        )
    )
    return [found.code for found in findings]


def test_each_rule_has_a_case():
    assert CASES.keys() | OTHER_RULES == set(RULES)


@pytest.mark.parametrize('code', CASES)
def test_rule_is_broken(code):
    path, broken, _ = CASES[code]
    assert find_codes(change(path, broken)) == [code]


@pytest.mark.parametrize('code', CASES)
def test_rule_is_just_complied_with(code):
    path, _, compliant = CASES[code]
    assert not find_codes(change(path, compliant))


def test_document_without_object_is_one_finding():
    assert find_codes([]) == ['RC100']
    assert not find_codes(DOCUMENT)


def test_unreadable_version_in_force_is_a_warning():
    current = {**change(('Routes', 0, 'Priority'), 256), 'Version': 7}
    assert find_codes(DOCUMENT, current=current) == ['RC103']
    current = {**change(('Routes', 0, 'Priority'), 255), 'Version': 7}
    assert not find_codes(DOCUMENT, current=current)


def test_misspelt_optional_field_is_a_warning():
    # Without the rule the route silently has no target latency.
    document = change(('Routes', 0, 'TargetLatencyMS'), 100)
    assert find_codes(document) == ['RC104']
    assert read_configuration(document).unknown_paths == (
        'Routes[0].TargetLatencyMS',
    )
    document['Routes'][0].pop('TargetLatencyMS')
    document['Routes'][0].pop('TargetLatencyMs')
    assert not find_codes(document)


def test_all_errors_are_found_with_their_paths():
    document = change(('Routes', 1, 'TrafficSplit', 1, 'Weight'), 'heavy')
    document['Routes'][0].pop('TimeoutMs')
    document['Services'][1]['Tls'] = 'yes'
    document['Limits'].pop('IdleTimeoutMs')
    problems = read_configuration(document).problems
    assert {problem.path for problem in problems} == {
        'Routes[0].TimeoutMs',
        'Routes[1].TrafficSplit[1].Weight',
        'Services[1].Tls',
        'Limits.IdleTimeoutMs',
    }


# Guards against errors that appear only once others are corrected: a problem in
# any field of a service or route hid what is wrong between the entries.
@pytest.mark.parametrize(
    ('place', 'codes'),
    [
        (('Services', 1, 'Tls'), ['RC101', 'RC205', 'RC206']),
        (('Services', 1, 'Name'), ['RC101', 'RC206']),
        (('Routes', 1, 'Priority'), ['RC101', 'RC205', 'RC206']),
        (('Routes', 1, 'TrafficSplit'), ['RC101', 'RC205']),
        (('Routes', 1), ['RC101', 'RC205']),
    ],
)
def test_problem_in_one_field_hides_no_other_error(place, codes):
    document = change(place, -7)
    shares = document['Routes'][0]['TrafficSplit']
    shares[0]['Service'] = 'missing'
    document['Services'].append({**SERVICE, 'Name': 'unused'})
    assert find_codes(document) == codes


def test_differences_are_sorted_by_risk():
    wanted = change(('Limits', 'IdleTimeoutMs'), 14000)
    wanted['Limits']['MaxBodyBytes'] += 1
    wanted['Routes'][0]['Name'] = 'payments'
    wanted['Routes'][0]['PathPrefix'] = '/445/'
    wanted['Routes'][1]['Priority'] = 2
    wanted['Services'][0]['MaxConnections'] = 50
    differences = compare_configurations(
        read_configuration(DOCUMENT), read_configuration(wanted)
    )
    assert [found.risk for found in differences] == [
        Risk.removed_route,
        Risk.changed_service,
        Risk.lowered_limit,
        Risk.changed_route,
        Risk.added,
        Risk.raised_limit,
    ]


@pytest.mark.parametrize(
    ('path', 'replacement'),
    [(('Routes', 0, 'MaxAttempts'), 3), (('Routes', 0, 'Type'), 'order')],
)
def test_each_changed_field_of_a_route_is_a_difference(path, replacement):
    differences = compare_configurations(
        read_configuration(DOCUMENT),
        read_configuration(change(path, replacement)),
    )
    assert [found.risk for found in differences] == [Risk.changed_route]


# Guards against a report that open flows are dropped where they are not: a
# route with another name on the same address takes them over.
def test_renamed_route_is_a_changed_one():
    differences = compare_configurations(
        read_configuration(DOCUMENT),
        read_configuration(change(('Routes', 0, 'Name'), 'payments')),
    )
    assert [(found.risk, found.name) for found in differences] == [
        (Risk.changed_route, 'route orders')
    ]
    assert 'payments' in differences[0].effect


def test_number_in_another_notation_is_no_difference():
    assert not compare_configurations(
        read_configuration(DOCUMENT),
        read_configuration(change(('Services', 0, 'WarmupPerS'), 10.0)),
    )


# Guards against a limit that is left out and reported as one of 0.
@pytest.mark.parametrize('removed', [True, False])
def test_limit_that_only_one_version_has_is_a_difference(removed):
    whole = read_configuration(DOCUMENT)
    document = change(('Limits', 'MaxBodyBytes'), 0)
    document['Limits'].pop('MaxBodyBytes')
    part = read_configuration(document)
    versions = (whole, part) if removed else (part, whole)
    differences = compare_configurations(*versions)
    effect = 'removed' if removed else 'added: 65536'
    assert [(found.risk, found.effect) for found in differences] == [
        (Risk.lowered_limit, effect)
    ]


def test_unreadable_route_is_not_reported_as_removed():
    current = read_configuration(DOCUMENT)
    wanted = read_configuration(change(('Routes', 0, 'TimeoutMs'), '2 s'))
    assert wanted.problems
    assert not compare_configurations(current, wanted)


def test_many_routes_are_checked_in_time():
    routes = [
        {
            **ROUTE,
            'Name': f'r-{index}',
            'Hostname': f'198.18.{index % 100}.1',
            'PathPrefix': f'/{index // 100 + 1}/',
        }
        for index in range(ROUTES)
    ]
    body = json.dumps({**DOCUMENT, 'Routes': routes}).encode()
    started = time.perf_counter()
    configuration = read_configuration(read_json(body))
    findings = check_configuration(CheckInput(configuration=configuration))
    compare_configurations(configuration, configuration)
    assert time.perf_counter() - started < BOUND_SECONDS
    assert not findings
    assert len(configuration.routes) == ROUTES


@given(st.binary())
def test_any_bytes_end_in_a_report(body):
    configuration = read_configuration(read_json(body))
    assert check_configuration(CheckInput(configuration=configuration))


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=4)
    | st.sampled_from(['counter', '/443/', '198.18.0.1', [], {}, 0, 1]),
    lambda parts: (
        st.lists(parts, max_size=2)
        | st.dictionaries(
            st.sampled_from(['Name', 'Service', 'Weight']), parts, max_size=3
        )
    ),
    max_leaves=4,
)
places = st.sampled_from(
    [
        *((key,) for key in DOCUMENT),
        *(('Routes', 0, key) for key in ROUTE),
        ('Routes', 0),
        ('Routes', 0, 'Service'),
        ('Routes', 0, 'TrafficSplit', 0),
        ('Routes', 0, 'TrafficSplit', 0, 'Weight'),
        ('Services', 0),
        ('Services', 0, 'Name'),
        ('Services', 0, 'WarmupPerS'),
        ('Limits', 'IdleTimeoutMs'),
    ]
)


@given(places, json_values)
def test_check_and_processes_accept_the_same_documents(place, replacement):
    body = json.dumps(change(place, replacement)).encode()
    document = read_json(body)
    readable = not read_configuration(document).problems
    # No process reads the number of attempts, which the check alone reads.
    if readable or 'MaxAttempts' not in place:
        accepted = isinstance(decode_routing(document), RoutingTable)
        assert accepted == readable


def test_page_matches_rules():
    assert PAGE.read_text() == write_checks_page(), (
        'run: python -m scripts.pages'
    )
