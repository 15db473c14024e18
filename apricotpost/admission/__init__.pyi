from .adaptation import reports_cold as reports_cold
from . import gate as gate
from . import limits as limits
from .limits import Limit as Limit
from . import recent as recent
