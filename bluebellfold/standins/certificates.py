"""Make certificates for tests and the demo."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

SERVER_NAME = 'bluebellfold.test'
_VALID_DAYS = 30


def write_certificate(directory: Path) -> tuple[Path, Path]:
    """Write a self-signed certificate and its key, return their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    certificate_path = directory / 'certificate.pem'
    key_path = directory / 'key.pem'
    certificate_path.write_bytes(
        _sign(key).public_bytes(serialization.Encoding.PEM),
    )
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
    return certificate_path, key_path


def _sign(key: ec.EllipticCurvePrivateKey) -> x509.Certificate:
    name = x509.Name(
        [x509.NameAttribute(NameOID.COMMON_NAME, SERVER_NAME)],
    )
    now = datetime.datetime.now(datetime.UTC)
    alternatives = x509.SubjectAlternativeName(
        [
            x509.DNSName(SERVER_NAME),
            x509.IPAddress(ipaddress.ip_address('127.0.0.1')),
        ],
    )
    builder = x509.CertificateBuilder()
    return (
        builder.subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=_VALID_DAYS))
        .add_extension(alternatives, critical=False)
        .sign(key, hashes.SHA256())
    )
