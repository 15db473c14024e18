"""The one reference that tasks of a node share."""

import dataclasses

from apricotpost import model
from apricotpost import routing

__all__ = ["Current", "Derived", "swap"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Derived:
    """A view and the routing table derived from it.

    Parameters
    ----------
    view : View
        State that the call path reads.
    table : RoutingTable
        Lookup tables of this view.
    """

    view: model.View
    table: routing.RoutingTable


class Current:
    """Holds the view in force; only the control task replaces it.

    A reader that needs the view and the table of the same moment reads
    `derived` once.

    Parameters
    ----------
    view : View, optional
        First view, by default one without a configuration.
    """

    def __init__(self, *, view: model.View | None = None) -> None:
        self.derived = _derive(
            model.View(snapshot=model.EMPTY_SNAPSHOT) if view is None else view
        )

    @property
    def view(self) -> model.View:
        """Return the view in force."""
        return self.derived.view


def swap(current: Current, view: model.View) -> None:
    """Replace the view and its table by one assignment."""
    current.derived = _derive(view)


def _derive(view: model.View) -> Derived:
    return Derived(view=view, table=routing.build_table(view))
