"""Adapter for the platform: its names, formats and API calls.

The package makes no decisions, and no other package uses the platform's
names.
"""

from apricotpost.platform.announcements import Deregistration
from apricotpost.platform.announcements import parse_announcement
from apricotpost.platform.announcements import parse_heartbeat
from apricotpost.platform.configuration import parse_configuration
from apricotpost.platform.configuration import read_version
from apricotpost.platform.configuration import RouteCache
from apricotpost.platform.credentials import carries_key
from apricotpost.platform.credentials import CREDENTIAL_HEADERS
from apricotpost.platform.credentials import hide_keys
from apricotpost.platform.credentials import is_encoded
from apricotpost.platform.credentials import read_key_digest
from apricotpost.platform.headers import classify_response
from apricotpost.platform.headers import find_response_fault
from apricotpost.platform.headers import is_healthy
from apricotpost.platform.headers import is_not_run
from apricotpost.platform.headers import make_call_headers
from apricotpost.platform.headers import make_health_request
from apricotpost.platform.headers import make_local_response_headers
from apricotpost.platform.headers import NotRunStatus
from apricotpost.platform.headers import read_backend_instance
from apricotpost.platform.headers import read_head
from apricotpost.platform.headers import RequestHead
from apricotpost.platform.orders import CONFIGURATION
from apricotpost.platform.orders import encode_status
from apricotpost.platform.orders import EVACUATIONS
from apricotpost.platform.orders import ORDERS
from apricotpost.platform.orders import parse_rollout
from apricotpost.platform.orders import ROLLOUTS
from apricotpost.platform.orders import STATUS
from apricotpost.platform.orders import status_key
from apricotpost.platform.orders import TrialState
from apricotpost.platform.store import Page
from apricotpost.platform.store import Store
from apricotpost.platform.store import Transaction
from apricotpost.platform.store_messages import Row
from apricotpost.platform.usage import classify_report
from apricotpost.platform.usage import encode_usage
from apricotpost.platform.usage import make_usage_request
from apricotpost.platform.usage import ReportOutcome
from apricotpost.platform.usage import USAGE

__all__ = [
    "CREDENTIAL_HEADERS",
    "CONFIGURATION",
    "Deregistration",
    "EVACUATIONS",
    "NotRunStatus",
    "ORDERS",
    "Page",
    "ROLLOUTS",
    "ReportOutcome",
    "RequestHead",
    "RouteCache",
    "Row",
    "STATUS",
    "Store",
    "Transaction",
    "TrialState",
    "USAGE",
    "classify_report",
    "carries_key",
    "classify_response",
    "encode_status",
    "encode_usage",
    "find_response_fault",
    "hide_keys",
    "is_encoded",
    "is_healthy",
    "is_not_run",
    "make_call_headers",
    "make_health_request",
    "make_local_response_headers",
    "make_usage_request",
    "parse_announcement",
    "parse_configuration",
    "parse_heartbeat",
    "parse_rollout",
    "read_backend_instance",
    "read_head",
    "read_key_digest",
    "read_version",
    "status_key",
]
