"""The one reference that tasks of a node share."""

import dataclasses

from apricotpost import model

__all__ = ["Current"]


@dataclasses.dataclass(kw_only=True)
class Current:
    """Holds the view in force; only the control task replaces it."""

    view: model.View = model.View(snapshot=model.EMPTY_SNAPSHOT)
