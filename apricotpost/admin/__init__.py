"""Administration API: tokens, sheets, configuration changes and status."""

from apricotpost.admin.app import make_app
from apricotpost.admin.handlers import AdminState
from apricotpost.admin import moves

__all__ = ["AdminState", "make_app", "moves"]
