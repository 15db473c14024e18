"""Admission of calls to the local backend server."""

from apricotpost.admission.adaptation import says_cold
from apricotpost.admission import gate
from apricotpost.admission import limits
from apricotpost.admission.limits import Limit
from apricotpost.admission import recent

__all__ = ["Limit", "gate", "limits", "recent", "says_cold"]
