"""Rollouts: evidence, verdicts, steps and their configuration changes."""

from apricotpost.rollout import evidence
from apricotpost.rollout.plans import end_rollout
from apricotpost.rollout.plans import find_open
from apricotpost.rollout.plans import plan_rollout
from apricotpost.rollout.plans import step_rollout
from apricotpost.rollout import steps
from apricotpost.rollout import verdicts

__all__ = [
    "end_rollout",
    "evidence",
    "find_open",
    "plan_rollout",
    "step_rollout",
    "steps",
    "verdicts",
]
