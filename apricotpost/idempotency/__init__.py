"""At-most-once execution of calls with ``Idempotency-Key``."""

from apricotpost.idempotency import backlog
from apricotpost.idempotency.calls import abandon
from apricotpost.idempotency.calls import begin
from apricotpost.idempotency.calls import Begun
from apricotpost.idempotency.calls import finish
from apricotpost.idempotency.calls import replay
from apricotpost.idempotency.keys import Claim
from apricotpost.idempotency.keys import fingerprint
from apricotpost.idempotency.keys import KEY_HEADER
from apricotpost.idempotency.keys import parse_key
from apricotpost.idempotency.keys import REPLAYED_HEADER
from apricotpost.idempotency.records import decide
from apricotpost.idempotency.records import Outcome
from apricotpost.idempotency.records import Record
from apricotpost.idempotency.records import Verdict

__all__ = [
    "Begun",
    "Claim",
    "KEY_HEADER",
    "Outcome",
    "REPLAYED_HEADER",
    "Record",
    "Verdict",
    "abandon",
    "backlog",
    "begin",
    "decide",
    "finish",
    "fingerprint",
    "parse_key",
    "replay",
]
