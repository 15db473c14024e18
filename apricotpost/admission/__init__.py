"""Admission of calls to the local backend server."""

from apricotpost.admission import gate
from apricotpost.admission import limits
from apricotpost.admission.limits import Limit

__all__ = ["Limit", "gate", "limits"]
