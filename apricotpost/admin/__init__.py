"""Administration API: tokens, sheets, configuration changes and status."""

from apricotpost.admin.app import make_app
from apricotpost.admin.handlers import Admin
from apricotpost.admin import moves

__all__ = ["Admin", "make_app", "moves"]
