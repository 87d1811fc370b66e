"""Test commands against running processes."""

import json
import os
import signal
import subprocess
import sys
from contextlib import closing

import pytest
from pytest_bdd import given, scenarios, then, when

from bluebellfold.operators.command import run_command
from bluebellfold.operators.key_rotation import new_keys, rotate_keys
from bluebellfold.operators.tests.test_command import BALANCERS
from bluebellfold.operators.tests.test_settings import AGENT, BASE, OVERLAY
from bluebellfold.standins.certificates import write_certificate

scenarios('bluebellfold/operators/tests/operating.feature')

COMMAND = (sys.executable, '-m', 'bluebellfold.operators.command')
# Each test run uses its own loopback network.
NETWORK = f'127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}'
HOSTS = (('balancer', f'{NETWORK}.11'), ('balancer', f'{NETWORK}.12'))
AGENT_HOST = f'{NETWORK}.31'
DAEMONS = ('balancer-1', 'balancer-2', 'agent-1')
MAX_STATUS_ATTEMPTS = 100


class RunningSite:
    """Run the processes of a site, and commands against it."""

    def __init__(self, directory):
        self.directory = directory
        self.overlay = directory / 'site.ini'
        self.keys = directory / 'keys.ini'
        self.processes = {}
        listed = ', '.join(f'{host}:8420' for _, host in HOSTS)
        text = OVERLAY.read_text().replace(BALANCERS, listed)
        text = text.replace('127.0.0.1:8400', f'{NETWORK}.1:8400')
        self.metrics = directory / 'agent-1.metrics.jsonl'
        exporters = f'[collectors]\nmetrics = file\ndirectory = {directory}\n'
        self.overlay.write_text(text + exporters)
        new_keys(self.keys)
        write_certificate(directory)[0].rename(directory / 'chain.pem')

    def start_platform(self):
        module = 'bluebellfold.standins.platform'
        listen_address = ('--host', f'{NETWORK}.1', '--port', '8400')
        process = subprocess.Popen(
            (sys.executable, '-m', module, *listen_address),
            stdout=subprocess.PIPE,
        )
        self.processes['platform'] = process
        assert process.stdout.readline() == b'ready\n'

    def start(self, role, name, host):
        text = AGENT.replace('agent-1', name).replace('127.0.0.31', host)
        if role == 'balancer':
            text = text.partition('service')[0]
        path = self.directory / f'{name}.ini'
        path.write_text(text)
        self.processes[name] = subprocess.Popen(
            (*COMMAND, role, *self.files(), '--process', str(path)),
            stderr=subprocess.PIPE,
        )

    def wait_for(self, name, event):
        lines = self.processes[name].stderr
        assert any(json.loads(line).get('event') == event for line in lines)

    def signal_all(self):
        for name in DAEMONS:
            self.processes[name].send_signal(signal.SIGHUP)

    def files(self):
        return ('--base', str(BASE), '--site', str(self.overlay))

    def run(self, *arguments):
        return run_command([*arguments, *self.files()])

    def close(self):
        for process in reversed(self.processes.values()):
            process.terminate()
        for process in self.processes.values():
            process.communicate()


@pytest.fixture(scope='module')
def running(tmp_path_factory):
    site = RunningSite(tmp_path_factory.mktemp('site'))
    with closing(site):
        site.start_platform()
        for number, (role, host) in enumerate(HOSTS, start=1):
            site.start(role, f'{role}-{number}', host)
        site.start('agent', 'agent-1', AGENT_HOST)
        for name in DAEMONS:
            site.wait_for(name, 'BBF0003')
        yield site


@pytest.fixture
def wait_for_status(running, capsys):
    """Return a function that polls the status until it is as expected."""

    def poll(*names, **expected):
        for _ in range(MAX_STATUS_ATTEMPTS):
            capsys.readouterr()
            code = running.run('status', '--json')
            lines = capsys.readouterr().out.splitlines()
            reports = [json.loads(line) for line in lines]
            found = {report['name'] for report in reports}
            matches = all(
                report[key] == wanted
                for report in reports
                for key, wanted in expected.items()
            )
            if found == set(names) and matches:
                return code
        pytest.fail(f'status shows {reports}')

    return poll


@given('a site with two balancers and an agent')
def site_is_running(wait_for_status):
    assert wait_for_status(*DAEMONS) == 0


@when('the operator lowers the share of orders and applies the files')
def apply_change(running):
    text = running.overlay.read_text().replace('share = 0.4', 'share = 0.3')
    running.overlay.write_text(text)
    assert running.run('config', 'apply', '--operation', 'less-orders') == 0


@then('every process has the applied version in force')
def applied_version_in_force(wait_for_status):
    assert wait_for_status(*DAEMONS, version='1') == 0


@then('applying the same files again changes nothing')
def nothing_to_do(running, capsys):
    assert running.run('config', 'apply') == 0
    assert 'nothing to do: version 1' in capsys.readouterr().out
    assert running.run('config', 'history') == 0
    assert capsys.readouterr().out == 'version 1  operation less-orders\n'


@when('the operator rotates the keys and signals every process')
def rotate_and_signal(running):
    rotate_keys(running.keys)
    running.signal_all()


@then('every process has reloaded its files')
def files_reloaded(running):
    for name in DAEMONS:
        running.wait_for(name, 'BBF0106')


@when('the operator corrupts the keys and signals every process')
def corrupt_keys(running):
    running.keys.write_text('[token]\ncurrent = secret\n')
    running.signal_all()


@then('every process has rejected its files')
def files_refused(running):
    for name in DAEMONS:
        running.wait_for(name, 'BBF0107')


@then('every process is still serving')
def processes_are_serving(wait_for_status):
    assert wait_for_status(*DAEMONS, state='serving') == 0


@when('the operator drains the agent and waits')
def drain(running):
    assert running.run('drain', 'agent-1', '--deadline', '5', '--wait') == 0


@then('the agent has stopped without a further error')
def agent_ended(running):
    agent = running.processes['agent-1']
    assert agent.wait() == 0
    errors = [line for line in agent.stderr if b'"level": "INFO"' not in line]
    assert not errors


@then('the metrics of the agent are in its metrics file')
def metrics_written(running):
    last = json.loads(running.metrics.read_text().splitlines()[-1])
    resource = last['resource_metrics'][0]['resource']['attributes']
    assert resource['cloud.availability_zone'] == 'wa-south-a'


@then('status shows only the balancers')
def only_balancers_shown(wait_for_status):
    assert wait_for_status('balancer-1', 'balancer-2') == 0
