"""Signature of requests to the platform.

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
    """Access key, its secret and the region it is used in."""

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
        A variable is not set or empty.
    """
    values = os.environ if environment is None else environment
    names = [access_key_variable, secret_key_variable]
    if session_token_variable:
        names.append(session_token_variable)
    faults = tuple(
        f"environment variable {name} is not set or empty"
        for name in names
        if not values.get(name)
    )
    if faults:
        raise errors.SettingsInvalid(
            "the platform's credentials are incomplete", faults=faults
        )
    return Credentials(
        access_key=values[access_key_variable],
        secret_key=values[secret_key_variable],
        region=region,
        session_token=values.get(session_token_variable, ""),
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
    """Return the headers of a request with its signature.

    Parameters
    ----------
    credentials : Credentials
        Who signs.
    service : str
        Name of the service in the scope.
    method, url, headers, body
        The request; all of its headers are signed.
    at : float
        Unix time in seconds.
    """
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    stamp = moment.strftime("%Y%m%dT%H%M%SZ")
    parts = urllib.parse.urlsplit(url)
    signed = {**headers, "Host": parts.netloc, "X-Amz-Date": stamp}
    payload_hash = hashlib.sha256(body).hexdigest()
    if service == "s3":
        signed["X-Amz-Content-Sha256"] = payload_hash
    if credentials.session_token:
        signed["X-Amz-Security-Token"] = credentials.session_token
    entries = sorted(
        (name.lower(), " ".join(value.split()))
        for name, value in signed.items()
    )
    names = ";".join(name for name, _ in entries)
    canonical = "\n".join(
        (
            method,
            _canonical_path(parts.path, service),
            _canonical_query(parts.query),
            "".join(f"{name}:{value}\n" for name, value in entries),
            names,
            payload_hash,
        )
    )
    scope = f"{stamp[:8]}/{credentials.region}/{service}/aws4_request"
    canonical_hash = hashlib.sha256(canonical.encode()).hexdigest()
    text = "\n".join((ALGORITHM, stamp, scope, canonical_hash))
    key = _signing_key(credentials, stamp[:8], service)
    signature = hmac.new(key, text.encode(), hashlib.sha256).hexdigest()
    signed["Authorization"] = (
        f"{ALGORITHM} Credential={credentials.access_key}/{scope}, "
        f"SignedHeaders={names}, Signature={signature}"
    )
    return signed


def _signing_key(credentials: Credentials, date: str, service: str) -> bytes:
    key = b"AWS4" + credentials.secret_key.encode()
    for part in (date, credentials.region, service, "aws4_request"):
        key = hmac.new(key, part.encode(), hashlib.sha256).digest()
    return key


def _canonical_path(path: str, service: str) -> str:
    """Encode a path; all services but S3 encode it a second time."""
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
