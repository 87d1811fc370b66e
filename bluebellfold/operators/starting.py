"""Validate the settings of a daemon and run it."""

import importlib
import logging

from bluebellfold.collectors import log_event, start_logging
from bluebellfold.core import BluebellfoldError, Process
from bluebellfold.operators.exit_codes import SUCCEEDED, exit_code_of
from bluebellfold.operators.process_checks import process_violation
from bluebellfold.operators.process_files import load_process_files
from bluebellfold.operators.process_settings import load_process
from bluebellfold.operators.settings import load_site

AGENT = 'agent'
DAEMONS = 'bluebellfold.daemons'

_log = logging.getLogger(__name__)


def run_role(role: str, base: str, overlay: str, process_path: str) -> int:
    """Run the daemon of a role until it stops, and return the exit code.

    Raise SettingsError for invalid settings, before the daemon starts.
    """
    settings = load_site(base, overlay)
    process = load_process(process_path, settings)
    _check_role(role, process, process_path)
    keys = load_process_files(process)
    start_logging(settings.collectors, process=process.name)
    log_event(_log, 'BBF0101', role=role, zone=process.zone)
    # Import only the modules that the role needs.
    daemon = importlib.import_module(f'{DAEMONS}.{role}')
    try:
        daemon.run(settings=settings, process=process, keys=keys)
    except BluebellfoldError as error:
        log_event(_log, 'BBF0104', problem=error.problem, remedy=error.remedy)
        return exit_code_of(error)
    log_event(_log, 'BBF0102', role=role)
    return SUCCEEDED


def _check_role(role: str, process: Process, path: str) -> None:
    if (role == AGENT) is bool(process.service):
        return
    raise process_violation(
        'service',
        f'does not fit the role {role}',
        'name the service in the settings of an agent only',
    ).as_error(path)
