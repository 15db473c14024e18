from .adaptation import says_cold as says_cold
from . import gate as gate
from . import limits as limits
from .limits import Limit as Limit
from . import recent as recent
