"""HTTP/1.1 server and client on the event loop, one object per address."""

from apricotpost.http.client import Client
from apricotpost.http.exchanges import Exchange
from apricotpost.http.messages import Body
from apricotpost.http.messages import encode_request
from apricotpost.http.messages import encode_response
from apricotpost.http.messages import find_header
from apricotpost.http.messages import Headers
from apricotpost.http.messages import Request
from apricotpost.http.messages import Response
from apricotpost.http.messages import strip_hop_headers
from apricotpost.http.requests import Failure
from apricotpost.http.requests import RequestHandle
from apricotpost.http.requests import Result
from apricotpost.http.requests import Verdict
from apricotpost.http.server import Eviction
from apricotpost.http.server import Limits
from apricotpost.http.server import Listener

__all__ = [
    "Body",
    "Client",
    "Eviction",
    "Exchange",
    "Failure",
    "Listener",
    "RequestHandle",
    "Headers",
    "Limits",
    "Request",
    "Response",
    "Result",
    "Verdict",
    "encode_request",
    "encode_response",
    "find_header",
    "strip_hop_headers",
]
