"""Check of request signatures, independent of the code that signs."""

import hashlib
import hmac
import re
import typing
import urllib.parse

__all__ = ["find_error"]

_AUTHORIZATION = re.compile(
    r"AWS4-HMAC-SHA256 Credential=([^/]+)/(\d{8})/([^/]+)/([^/]+)/"
    r"aws4_request, SignedHeaders=([^,]+), Signature=([0-9a-f]{64})"
)


def find_error(
    environ: dict[str, typing.Any], body: bytes, keys: dict[str, str]
) -> str | None:
    """Return the error code for the signature of a WSGI request, if any.

    Parameters
    ----------
    environ : dict
        WSGI environment of the request.
    body : bytes
        Body of the request.
    keys : dict
        Secret keys by access key.
    """
    match = _AUTHORIZATION.fullmatch(environ.get("HTTP_AUTHORIZATION", ""))
    if not match:
        return "MissingAuthenticationToken"
    access_key, date, region, service, signed_names, signature = match.groups()
    if access_key not in keys:
        return "UnrecognizedClientException"
    timestamp = environ.get("HTTP_X_AMZ_DATE", "")
    if not timestamp.startswith(date) or "host" not in signed_names.split(";"):
        return "IncompleteSignature"
    canonical_lines = [
        environ["REQUEST_METHOD"],
        _canonical_path(environ, service),
    ]
    canonical_lines.append(environ.get("QUERY_STRING", ""))
    for name in signed_names.split(";"):
        key = name.upper().replace("-", "_")
        value = environ.get("HTTP_" + key, environ.get(key, ""))
        canonical_lines.append(f"{name}:{value.strip()}")
    canonical_lines += ["", signed_names, hashlib.sha256(body).hexdigest()]
    digest = hashlib.sha256("\n".join(canonical_lines).encode()).hexdigest()
    scope = "/".join((date, region, service, "aws4_request"))
    message = "\n".join(("AWS4-HMAC-SHA256", timestamp, scope, digest))
    secret = ("AWS4" + keys[access_key]).encode()
    for part in scope.split("/"):
        secret = hmac.digest(secret, part.encode(), "sha256")
    expected = hmac.digest(secret, message.encode(), "sha256").hex()
    if not hmac.compare_digest(expected, signature):
        return "InvalidSignatureException"
    return None


def _canonical_path(environ: dict[str, typing.Any], service: str) -> str:
    raw = str(environ.get("REQUEST_URI") or environ["PATH_INFO"])
    path = raw.partition("?")[0] or "/"
    return path if service == "s3" else urllib.parse.quote(path, safe="/~")
