"""Adapter for the platform: its names, formats and API calls.

The package makes no decisions, and no other package uses the platform's
names.
"""

from apricotpost.platform.announcements import Deregistration
from apricotpost.platform.announcements import parse_announcement
from apricotpost.platform.announcements import parse_heartbeat
from apricotpost.platform.configuration import parse_configuration
from apricotpost.platform.configuration import RouteCache
from apricotpost.platform.headers import backend_instance
from apricotpost.platform.headers import call_headers
from apricotpost.platform.headers import find_response_fault
from apricotpost.platform.headers import health_request
from apricotpost.platform.headers import is_healthy
from apricotpost.platform.headers import is_not_run
from apricotpost.platform.headers import NotRunStatus
from apricotpost.platform.headers import read_head
from apricotpost.platform.headers import refusal_headers
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
from apricotpost.platform.store import Change
from apricotpost.platform.store import Page
from apricotpost.platform.store import Row
from apricotpost.platform.store import Store

__all__ = [
    "CONFIGURATION",
    "Change",
    "EVACUATIONS",
    "NotRunStatus",
    "ORDERS",
    "Page",
    "ROLLOUTS",
    "RequestHead",
    "RouteCache",
    "Row",
    "STATUS",
    "Store",
    "TrialState",
    "Deregistration",
    "backend_instance",
    "call_headers",
    "encode_status",
    "health_request",
    "is_not_run",
    "is_healthy",
    "parse_announcement",
    "parse_heartbeat",
    "parse_configuration",
    "parse_rollout",
    "read_head",
    "refusal_headers",
    "find_response_fault",
    "status_key",
]
