"""Test that errors in settings name the file and a remedy."""

from pathlib import Path

import pytest

from bluebellfold.core import CONNECTION, SLOT, Endpoint, SettingsError
from bluebellfold.operators import (
    load_process,
    load_site,
    merge,
    parse_site,
)

SETTINGS = Path(__file__).parents[3] / 'settings'
BASE = SETTINGS / 'base.ini'
OVERLAY = SETTINGS / 'marrinup.ini'
AGENT = """[process]
name = agent-1
zone = wa-south-a
host = 127.0.0.31
control_port = 8420
datagram_port = 8421
keys_file = keys.ini
service = counter
upstream = 127.0.0.1:9001
certificate = chain.pem
private_key = key.pem
"""


def test_shipped_site_settings_are_valid():
    marrinup = load_site(BASE, OVERLAY).site
    klatka = load_site(BASE, SETTINGS / 'klatka.ini').site
    assert marrinup.zones == ('wa-south-a', 'wa-south-b', 'wa-south-c')
    assert len(klatka.zones) == 4
    counter = marrinup.service_named('counter')
    assert (counter.upstreams, counter.slots, counter.connections) == (
        (7, 3, 2000)
    )
    assert klatka.service_named('magazyn').upstreams == 4
    assert not marrinup.kind_named('order').repeatable
    assert marrinup.kind_named('order').holds == SLOT
    assert klatka.kind_named('status').holds == CONNECTION


def test_merged_text_parses_to_same_site():
    settings = load_site(BASE, OVERLAY)
    assert parse_site(settings.text) == settings.site
    assert merge(BASE, OVERLAY) == settings.text


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('region = wa-south', 'regoin = wa-south', '[site] regoin: unknown'),
        ('upstreams = 7', 'upstreams = many', '[[counter]] upstreams'),
        ('upstreams = 7', '', '[[counter]] upstreams: missing'),
        ('127.0.0.12:8410', '10.1.1.1:8410', 'balancers: 10.1.1.1:8410 is not'),
        ('127.0.0.12:8410', 'localhost:8410', "'localhost' is not an IPv4"),
        ('127.0.0.12:8410', '[::1]:8410', "'[::1]' is not an IPv4"),
        ('127.0.0.0/8', '127.0.0.1/8', 'is not an IPv4 CIDR block'),
        ('127.0.0.12:8410', '127.0.0.11:8410', 'listed twice'),
        ('port = 8402', 'port = 8401', '[[order]] port: port 8401 is taken'),
        ('number = 3', 'number = 1', '[[batch]] number: number 1 is taken'),
        ('number = 2\nup', 'number = 1\nup', '[[makeroom]] number: number 1'),
        ('service = makeroom', 'service = shed', 'no service shed'),
        ('share = 0.4', 'share = 0.4\nqueue_seconds = 2', 'repeats the value'),
        ('region', 'candidates = 2\nregion', '[site] candidates: repeats'),
        ('holds = slot', 'holds = desk', '[[order]] holds'),
        ('share = 0.4', 'share = 0.5', 'repeats the value of the base'),
        ('share = 0.4', 'share = 0.50', 'repeats the value of the base'),
        ('share = 0.4', 'share = 1.5', '[[order]] share'),
        ('holds = connection', 'holds = slot', ''),
        ('zones = wa-south-a', 'zones = wa-south-b', 'wa-south-b is listed'),
        ('[services]', '[servces]', '[servces]: unknown'),
        ('region = wa-south', 'region = a\nregion = b', 'uplicate'),
    ],
)
def test_invalid_overlay_is_refused(tmp_path, old, new, expected):
    overlay = tmp_path / 'site.ini'
    text = OVERLAY.read_text()
    assert old in text
    overlay.write_text(text.replace(old, new, 1))
    if not expected:
        load_site(BASE, overlay)
        return
    with pytest.raises(SettingsError) as raised:
        load_site(BASE, overlay)
    assert expected in raised.value.problem
    assert str(overlay) in raised.value.problem
    assert raised.value.remedy


def test_shares_of_one_resource_above_1_are_refused(tmp_path):
    overlay = tmp_path / 'site.ini'
    changed = OVERLAY.read_text().replace('connection', 'slot')
    overlay.write_text(changed.replace('share = 0.4', 'share = 0.45'))
    with pytest.raises(SettingsError, match='slots of counter add up to 1.05'):
        load_site(BASE, overlay)


def test_error_in_base_names_base_file(tmp_path):
    base = tmp_path / 'base.ini'
    base.write_text(BASE.read_text().replace('candidates = 2', 'candidates=x'))
    with pytest.raises(SettingsError) as raised:
        load_site(base, OVERLAY)
    assert str(base) in raised.value.problem


def test_missing_file_is_refused(tmp_path):
    with pytest.raises(SettingsError, match='can not be read'):
        load_site(BASE, tmp_path / 'none.ini')


def test_agent_process_settings(tmp_path):
    path = tmp_path / 'agent.ini'
    path.write_text(AGENT)
    process = load_process(path, load_site(BASE, OVERLAY))
    assert process.upstream == Endpoint(host='127.0.0.1', port=9001)
    assert process.keys_file == str(tmp_path / 'keys.ini')
    assert process.tls_files[1] == str(tmp_path / 'key.pem')


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('wa-south-a', 'pl-central-a', 'has no zone pl-central-a'),
        ('counter', 'kronika', 'has no service kronika'),
        ('127.0.0.31', '10.0.0.1', 'host: 10.0.0.1 is not an address'),
        ('127.0.0.1:9', '10.0.0.1:9', 'upstream: 10.0.0.1:9001 is not'),
        ('127.0.0.1:9001', 'here', "upstream: 'here' is not host:port"),
        ('8421', '8401', 'taken by kind feed'),
        ('8421', '0', 'datagram_port'),
        ('private_key = key.pem', '', 'private_key: missing'),
        ('keys_file', 'key_file', 'key_file: unknown'),
    ],
)
def test_invalid_process_is_refused(tmp_path, old, new, expected):
    path = tmp_path / 'agent.ini'
    path.write_text(AGENT.replace(old, new, 1))
    with pytest.raises(SettingsError) as raised:
        load_process(path, load_site(BASE, OVERLAY))
    assert expected in raised.value.problem
    assert str(path) in raised.value.problem
