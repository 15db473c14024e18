"""At-most-once execution of calls with ``Idempotency-Key``."""

from apricotpost.idempotency import backlog
from apricotpost.idempotency.calls import abandon
from apricotpost.idempotency.calls import begin
from apricotpost.idempotency.calls import BeginResult
from apricotpost.idempotency.calls import finish
from apricotpost.idempotency.calls import replay
from apricotpost.idempotency.keys import Claim
from apricotpost.idempotency.keys import fingerprint
from apricotpost.idempotency.keys import KEY_HEADER
from apricotpost.idempotency.keys import parse_key
from apricotpost.idempotency.keys import REPLAYED_HEADER
from apricotpost.idempotency.records import decide
from apricotpost.idempotency.records import KeyDecision
from apricotpost.idempotency.records import Outcome
from apricotpost.idempotency.records import Record

__all__ = [
    "BeginResult",
    "Claim",
    "KEY_HEADER",
    "KeyDecision",
    "Outcome",
    "REPLAYED_HEADER",
    "Record",
    "abandon",
    "backlog",
    "begin",
    "decide",
    "fingerprint",
    "finish",
    "parse_key",
    "replay",
]
