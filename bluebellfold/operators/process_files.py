"""Load and validate the files named in the settings of a process."""

import importlib
import time

from bluebellfold.core import Process
from bluebellfold.operators.keys import Keys, load_keys

TLS_FILES = 'bluebellfold.operators.tls_files'


def load_process_files(process: Process) -> Keys:
    """Return the keys, after validating the TLS files of an agent.

    Raise SettingsError for an invalid file, for a private key that does not
    match the certificate, and for an expired certificate.
    """
    keys = load_keys(process.keys_file)
    if process.service:
        # Balancers have no certificate and do not need the import.
        tls_files = importlib.import_module(TLS_FILES)
        tls_files.check_tls_files(*process.tls_files, now=time.time())
    return keys
