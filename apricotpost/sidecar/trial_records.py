"""Trials of rollouts, as recorded in the platform's store."""

from collections.abc import Callable
import logging

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import events
from apricotpost import platform
from apricotpost.rollout import trials

__all__ = ["TRIALS", "TrialRecords", "TrialRow"]

_LOG = logging.getLogger(__name__)

# Table of the trials in the store. A row is written only on the condition that
# it has not changed since it was read, so that decisions of several holders
# cannot overwrite each other.
TRIALS = "trials"
_STATUS = {
    trials.Phase.RUNNING: platform.TrialState.RUNNING,
    trials.Phase.MOVING: platform.TrialState.RUNNING,
    trials.Phase.SETTLING: platform.TrialState.RUNNING,
    trials.Phase.COMPLETED: platform.TrialState.COMPLETED,
    trials.Phase.ROLLED_BACK: platform.TrialState.ROLLED_BACK,
}


class TrialRow(msgspec.Struct, frozen=True):
    """State of a trial, with the store revision of its order."""

    order: decoding.Count
    version: decoding.Name
    old: decoding.Name
    phase: trials.Phase


_decode_trial_row = decoding.json_decoder("row of a trial", TrialRow)


class TrialRecords:
    """Rows of all trials that this node has read or written.

    Parameters
    ----------
    store : platform.Store
        The platform's store.
    on_row : callable
        Called with the service and the row of each trial that is read.
    """

    def __init__(
        self,
        *,
        store: platform.Store,
        on_row: Callable[[str, TrialRow], None],
    ) -> None:
        self.store = store
        self.on_row = on_row
        # Revision and content of the row of each service.
        self.rows: dict[str, tuple[int, TrialRow]] = {}
        # Whether `rows` has all rows of the store, as far as this node knows.
        self.complete = False

    async def read(self) -> None:
        """Read the trials of earlier processes and other holders.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store did not answer.
        """
        page = await self.store.read(TRIALS)
        self.rows.clear()
        for row in page.rows:
            try:
                trial_row = _parse_trial_row(row)
            except errors.MalformedMessage as error:
                events.emit(
                    _LOG,
                    events.ROW_MALFORMED,
                    table=TRIALS,
                    key=row.key,
                    error=error.message,
                )
                continue
            self.rows[row.key] = (row.revision, trial_row)
            self.on_row(row.key, trial_row)
        self.complete = True

    def forget(self) -> None:
        """Read the stored trials again before the next write.

        The store has returned from an older copy and may have lost some.
        """
        self.complete = False

    async def write(self, trial: trials.Trial) -> bool:
        """Write the state of a trial unless it is already stored.

        Returns
        -------
        bool
            Whether the state is in the store now.
        """
        try:
            if not self.complete:
                await self.read()
            return await self.write_row(trial)
        except errors.TransactionRejected:
            self.complete = False
        except errors.PlatformError as error:
            self.complete = False
            events.emit(
                _LOG,
                events.TRIAL_STATUS_NOT_STORED,
                service=trial.service,
                error=error.message,
            )
        return False

    async def write_row(self, trial: trials.Trial) -> bool:
        """Write the row of a trial if it has not changed since it was read.

        Returns
        -------
        bool
            False if the stored phase cannot be followed by this one.
        """
        revision, stored = self.rows.get(trial.service, (0, None))
        status = _STATUS[trial.phase]
        if stored is not None and trials.is_same_order(
            trial, stored.order, stored.version
        ):
            if _STATUS[stored.phase] is not status:
                if not trials.may_follow(stored.phase, trial.phase):
                    return False
            elif stored.order >= trial.order_revision and (
                stored.old or not trial.old
            ):
                return True
        row = TrialRow(
            order=trial.order_revision,
            version=trial.new,
            old=trial.old,
            phase=trial.phase,
        )
        change = platform.Transaction(
            expected=((TRIALS, trial.service, revision),),
            put=(
                (TRIALS, trial.service, msgspec.json.encode(row)),
                (
                    platform.STATUS,
                    platform.status_key(trial.service),
                    platform.encode_status(status, trial.new),
                ),
            ),
        )
        new_revision = await self.store.write(change)
        self.rows[trial.service] = (new_revision, row)
        return True


def _parse_trial_row(row: platform.Row) -> TrialRow:
    """Decode the row of a trial.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The row cannot be decoded, or refers to an order that is newer than
        the row itself. Such a row would hide all later orders.
    """
    trial_row: TrialRow = _decode_trial_row(row.value)
    if trial_row.order >= row.revision:
        raise errors.MalformedMessage(
            f"trial refers to order {trial_row.order}, but its row has "
            f"revision {row.revision}"
        )
    return trial_row
