"""Load settings, run commands and report status for operators."""

from bluebellfold.operators.control_client import (
    fetch_all_statuses,
    fetch_status,
    request_drain,
)
from bluebellfold.operators.key_rotation import new_keys, rotate_keys
from bluebellfold.operators.keys import KeyRing, Keys, load_keys
from bluebellfold.operators.measuring import MetricsTask, make_sample
from bluebellfold.operators.messages import Drain, GetStatus, StatusReport
from bluebellfold.operators.process_files import load_process_files
from bluebellfold.operators.process_settings import load_process
from bluebellfold.operators.service import ControlService
from bluebellfold.operators.settings import (
    load_site,
    merge,
    parse_settings,
    parse_site,
)
from bluebellfold.operators.site_settings import SiteSettings
from bluebellfold.operators.site_status import control_endpoint_of

__all__ = (
    'ControlService',
    'Drain',
    'GetStatus',
    'KeyRing',
    'Keys',
    'MetricsTask',
    'SiteSettings',
    'StatusReport',
    'fetch_all_statuses',
    'control_endpoint_of',
    'fetch_status',
    'load_keys',
    'load_process',
    'load_process_files',
    'load_site',
    'make_sample',
    'merge',
    'new_keys',
    'parse_settings',
    'parse_site',
    'request_drain',
    'rotate_keys',
)
