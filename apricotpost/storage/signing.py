"""Signing of requests to the platform.

References
----------
AWS Signature Version 4, ``AWS4-HMAC-SHA256``.
"""

from collections.abc import Mapping
import dataclasses
import datetime
import hashlib
import hmac
import os
import urllib.parse

from apricotpost import errors

__all__ = ["Credentials", "read_credentials", "sign"]

ALGORITHM = "AWS4-HMAC-SHA256"
_UNRESERVED = "-_.~"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Credentials:
    """Access key, its secret and the region in which it is used."""

    access_key: str
    secret_key: str = dataclasses.field(repr=False)
    region: str
    session_token: str = dataclasses.field(default="", repr=False)


def read_credentials(
    *,
    region: str,
    access_key_variable: str,
    secret_key_variable: str,
    session_token_variable: str = "",
    environment: Mapping[str, str] | None = None,
) -> Credentials:
    """Read credentials from named environment variables.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        A variable is not set or is empty; the error lists all of them.
    """
    variables = os.environ if environment is None else environment
    variable_names = [access_key_variable, secret_key_variable]
    if session_token_variable:
        variable_names.append(session_token_variable)
    faults = tuple(
        f"environment variable {name} is not set or empty"
        for name in variable_names
        if not variables.get(name)
    )
    if faults:
        raise errors.SettingsInvalid(
            "the platform's credentials are incomplete", faults=faults
        )
    return Credentials(
        access_key=variables[access_key_variable],
        secret_key=variables[secret_key_variable],
        region=region,
        session_token=variables.get(session_token_variable, ""),
    )


def sign(
    credentials: Credentials,
    *,
    service: str,
    method: str,
    url: str,
    headers: Mapping[str, str],
    body: bytes,
    at: float,
) -> dict[str, str]:
    """Return the headers of a request together with its signature.

    Parameters
    ----------
    credentials : Credentials
        Credentials that sign the request.
    service : str
        Name of the service in the credential scope.
    method, url, headers, body
        Content of the request; all headers are signed.
    at : float
        Unix time of the signature in seconds.
    """
    signed_at = datetime.datetime.fromtimestamp(at, datetime.UTC)
    timestamp = signed_at.strftime("%Y%m%dT%H%M%SZ")
    url_parts = urllib.parse.urlsplit(url)
    all_headers = {
        **headers,
        "Host": url_parts.netloc,
        "X-Amz-Date": timestamp,
    }
    payload_hash = hashlib.sha256(body).hexdigest()
    if service == "s3":
        all_headers["X-Amz-Content-Sha256"] = payload_hash
    if credentials.session_token:
        all_headers["X-Amz-Security-Token"] = credentials.session_token
    canonical_headers = sorted(
        (name.lower(), " ".join(value.split()))
        for name, value in all_headers.items()
    )
    signed_header_names = ";".join(name for name, _ in canonical_headers)
    canonical_request = "\n".join(
        (
            method,
            _canonical_path(url_parts.path, service),
            _canonical_query(url_parts.query),
            "".join(f"{name}:{value}\n" for name, value in canonical_headers),
            signed_header_names,
            payload_hash,
        )
    )
    credential_scope = (
        f"{timestamp[:8]}/{credentials.region}/{service}/aws4_request"
    )
    request_hash = hashlib.sha256(canonical_request.encode()).hexdigest()
    string_to_sign = "\n".join(
        (ALGORITHM, timestamp, credential_scope, request_hash)
    )
    key = _signing_key(credentials, timestamp[:8], service)
    signature = hmac.new(
        key, string_to_sign.encode(), hashlib.sha256
    ).hexdigest()
    all_headers["Authorization"] = (
        f"{ALGORITHM} Credential={credentials.access_key}/{credential_scope}, "
        f"SignedHeaders={signed_header_names}, Signature={signature}"
    )
    return all_headers


def _signing_key(credentials: Credentials, date: str, service: str) -> bytes:
    key = b"AWS4" + credentials.secret_key.encode()
    for part in (date, credentials.region, service, "aws4_request"):
        key = hmac.new(key, part.encode(), hashlib.sha256).digest()
    return key


def _canonical_path(path: str, service: str) -> str:
    """Encode a path; all services except S3 encode it a second time."""
    if service == "s3":
        path = urllib.parse.unquote(path)
    return urllib.parse.quote(path or "/", safe="/" + _UNRESERVED)


def _canonical_query(query: str) -> str:
    pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
    return "&".join(
        sorted(
            f"{urllib.parse.quote(name, safe=_UNRESERVED)}="
            f"{urllib.parse.quote(value, safe=_UNRESERVED)}"
            for name, value in pairs
        )
    )
