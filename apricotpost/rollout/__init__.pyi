from . import evidence as evidence
from .plans import end_rollout as end_rollout
from .plans import find_open as find_open
from .plans import plan_rollout as plan_rollout
from .plans import step_rollout as step_rollout
from . import steps as steps
from . import judgements as judgements
