"""Routes, choices, retries and the calls in flight."""

from apricotpost.routing import calls
from apricotpost.routing.choices import choose_backend_server
from apricotpost.routing.choices import choose_version
from apricotpost.routing.choices import effective_shares
from apricotpost.routing.choices import PeerLoad
from apricotpost.routing import contexts
from apricotpost.routing.retries import Budget
from apricotpost.routing.tables import build_table
from apricotpost.routing.tables import find_withdrawn
from apricotpost.routing.tables import match_route
from apricotpost.routing.tables import RoutingTable

__all__ = [
    "Budget",
    "PeerLoad",
    "RoutingTable",
    "build_table",
    "calls",
    "choose_backend_server",
    "choose_version",
    "contexts",
    "effective_shares",
    "find_withdrawn",
    "match_route",
]
