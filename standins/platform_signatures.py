"""Check of request signatures, written apart from the code that signs."""

import hashlib
import hmac
import re
import typing
import urllib.parse

__all__ = ["find_fault"]

_AUTHORIZATION = re.compile(
    r"AWS4-HMAC-SHA256 Credential=([^/]+)/(\d{8})/([^/]+)/([^/]+)/"
    r"aws4_request, SignedHeaders=([^,]+), Signature=([0-9a-f]{64})"
)


def find_fault(
    environ: dict[str, typing.Any], body: bytes, keys: dict[str, str]
) -> str | None:
    """Return what is wrong with the signature of a WSGI request.

    Parameters
    ----------
    environ : dict
        Of the request.
    body : bytes
        Of the request.
    keys : dict
        Secret keys by access key.
    """
    found = _AUTHORIZATION.fullmatch(environ.get("HTTP_AUTHORIZATION", ""))
    if not found:
        return "MissingAuthenticationToken"
    access_key, date, region, service, names, signature = found.groups()
    if access_key not in keys:
        return "UnrecognizedClientException"
    stamp = environ.get("HTTP_X_AMZ_DATE", "")
    if not stamp.startswith(date) or "host" not in names.split(";"):
        return "IncompleteSignature"
    lines = [environ["REQUEST_METHOD"], _path(environ, service)]
    lines.append(environ.get("QUERY_STRING", ""))
    for name in names.split(";"):
        key = name.upper().replace("-", "_")
        value = environ.get("HTTP_" + key, environ.get(key, ""))
        lines.append(f"{name}:{value.strip()}")
    lines += ["", names, hashlib.sha256(body).hexdigest()]
    digest = hashlib.sha256("\n".join(lines).encode()).hexdigest()
    scope = "/".join((date, region, service, "aws4_request"))
    message = "\n".join(("AWS4-HMAC-SHA256", stamp, scope, digest))
    secret = ("AWS4" + keys[access_key]).encode()
    for part in scope.split("/"):
        secret = hmac.digest(secret, part.encode(), "sha256")
    expected = hmac.digest(secret, message.encode(), "sha256").hex()
    if not hmac.compare_digest(expected, signature):
        return "InvalidSignatureException"
    return None


def _path(environ: dict[str, typing.Any], service: str) -> str:
    raw = str(environ.get("REQUEST_URI") or environ["PATH_INFO"])
    path = raw.partition("?")[0] or "/"
    return path if service == "s3" else urllib.parse.quote(path, safe="/~")
