"""Administration API: tokens, the sheet, changes and what operators see."""

from apricotpost.admin.app import make_app
from apricotpost.admin.handlers import Admin
from apricotpost.admin import moves

__all__ = ["Admin", "make_app", "moves"]
