"""Certificates for tests, signed by an authority of their own."""

import ipaddress
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALID_FOR = timedelta(days=1)


class Authority:
    """Signs certificates for 127.0.0.1 and writes them to a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.file = folder / f"{name}.pem"
        certificate = self._build(self._name, self._key, is_authority=True)
        self.file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str) -> tuple[Path, Path]:
        """Write a new certificate and key under a name and return their files."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._build(subject, key, is_authority=False)
        certificate_file = self._folder / f"{name}.crt"
        key_file = self._folder / f"{name}.key"
        certificate_file.write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
        )
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return certificate_file, key_file

    def _build(self, subject, key, is_authority):
        now = datetime.now(UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - VALID_FOR)
            .not_valid_after(now + VALID_FOR)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        )
        if not is_authority:
            address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
            builder = builder.add_extension(
                x509.SubjectAlternativeName([address]), critical=False
            )
        return builder.sign(self._key, hashes.SHA256())
