"""Bearer tokens: authentication of actors and their rights."""

from collections.abc import Iterable
import dataclasses
import hashlib
import hmac

from apricotpost import errors
from apricotpost import settings

__all__ = [
    "Actor",
    "CHANGE",
    "DATA_CENTRES",
    "READ",
    "authenticate",
    "require_right",
]

READ = "read"
CHANGE = "change"
DATA_CENTRES = "data-centres"

_SCHEME = "bearer"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Actor:
    """Authenticated person or program that makes a request.

    Parameters
    ----------
    author : str
        Name kept in the audit record.
    team : str
        Team whose services the actor may change.
    rights : frozenset of str
        Any of `READ`, `CHANGE` and `DATA_CENTRES`.
    """

    author: str
    team: str
    rights: frozenset[str]


def authenticate(
    header: str, tokens: Iterable[settings.TokenSettings]
) -> Actor:
    """Find the owner of the token in an ``Authorization`` header.

    Every known hash is compared in constant time, so that the response time
    does not reveal how much of a hash matched.

    Raises
    ------
    apricotpost.errors.AuthenticationFailed
        The header has no token or an unknown one.
    """
    scheme, _, token = header.partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    found = None
    for known_token in tokens:
        if hmac.compare_digest(known_token.sha256, digest):
            found = known_token
    if found is None or scheme.lower() != _SCHEME or not token.strip():
        raise errors.AuthenticationFailed(
            "expected 'Authorization: Bearer TOKEN' with a known token"
        )
    return Actor(
        author=found.author, team=found.team, rights=frozenset(found.rights)
    )


def require_right(actor: Actor, right: str) -> None:
    """Raise an error unless an actor holds a right.

    Raises
    ------
    apricotpost.errors.AccessDenied
        The actor lacks the right.
    """
    if right not in actor.rights:
        raise errors.AccessDenied(
            f"{actor.author} of team {actor.team} lacks the right {right}"
        )
