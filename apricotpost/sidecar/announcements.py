"""Answers to the announcements of the backend server."""

from collections.abc import Callable
import logging

from apricotpost import errors
from apricotpost import events
from apricotpost import http
from apricotpost import model
from apricotpost import platform

__all__ = ["answer"]

_LOG = logging.getLogger(__name__)


def answer(
    exchange: http.Exchange,
    *,
    on_heartbeat: Callable[[model.Heartbeat], None],
    on_deregistration: Callable[[platform.Deregistration], None],
) -> None:
    """Process and answer an announcement.

    Parameters
    ----------
    exchange : http.Exchange
        The announcement.
    on_heartbeat, on_deregistration : callable
        Called with what the backend server has announced.
    """
    try:
        announcement = platform.parse_announcement(exchange.request)
    except errors.MalformedMessage as error:
        events.emit(_LOG, events.ANNOUNCEMENT_MALFORMED, error=error.message)
        exchange.respond(http.Response(status=400))
        return
    if announcement is None:
        exchange.respond(http.Response(status=404))
        return
    if isinstance(announcement, platform.Deregistration):
        on_deregistration(announcement)
    else:
        on_heartbeat(announcement)
    exchange.respond(
        http.Response(
            status=200,
            headers=((b"Content-Type", b"application/json"),),
            body=b"{}",
        )
    )
