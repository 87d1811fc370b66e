"""Validate the certificate and private key of an agent."""

from datetime import UTC, datetime
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.types import PrivateKeyTypes
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from bluebellfold.core import SettingsError

CERTIFICATE_REMEDY = (
    'give a PEM file that starts with the certificate of the agent'
)
KEY_REMEDY = 'give a PEM file without a password'


def check_tls_files(certificate: str, private_key: str, *, now: float) -> None:
    """Raise SettingsError for an invalid, unmatched or expired certificate.

    ``now`` is in seconds since the epoch.
    """
    chain = _load_chain(certificate)
    key = _load_key(private_key)
    if chain[0].public_key() != key.public_key():
        raise SettingsError(
            problem=f'{private_key} is not the key of {certificate}',
            remedy='give the certificate and its own private key',
        )
    expires_at = chain[0].not_valid_after_utc
    if expires_at <= datetime.fromtimestamp(now, UTC):
        raise SettingsError(
            problem=f'{certificate} expired at {expires_at}',
            remedy='renew the certificate',
        )


def _load_chain(path: str) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(_read_bytes(path))
    except ValueError as error:
        raise SettingsError(
            problem=f'{path}: not a certificate: {error}',
            remedy=CERTIFICATE_REMEDY,
        ) from None


def _load_key(path: str) -> PrivateKeyTypes:
    try:
        return load_pem_private_key(_read_bytes(path), password=None)
    except (ValueError, TypeError, UnsupportedAlgorithm):
        # The message of the library is left out: it may quote the file.
        raise SettingsError(
            problem=f'{path}: not a private key',
            remedy=KEY_REMEDY,
        ) from None


def _read_bytes(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(
            problem=f'{path}: can not be read: {error.strerror}',
            remedy='give the path of a readable file',
        ) from None
