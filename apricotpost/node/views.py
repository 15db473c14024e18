"""The one reference that the tasks of a node share: the view in force."""

import dataclasses

from apricotpost import model
from apricotpost import routing

__all__ = ["CurrentView", "DerivedState", "swap"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DerivedState:
    """A view and the routing table derived from it.

    Parameters
    ----------
    view : View
        Configuration and instances, as the call path reads them.
    table : RoutingTable
        Lookup tables built from this view.
    """

    view: model.View
    table: routing.RoutingTable


class CurrentView:
    """Reference to the view in force; only the control task replaces it.

    A reader that needs a view and its own routing table reads `derived` once.

    Parameters
    ----------
    view : View, optional
        Initial view; by default one with the empty configuration.
    """

    def __init__(self, *, view: model.View | None = None) -> None:
        self.derived = _derive(
            model.View(snapshot=model.EMPTY_SNAPSHOT) if view is None else view
        )

    @property
    def view(self) -> model.View:
        """Return the view in force."""
        return self.derived.view


def swap(current: CurrentView, view: model.View) -> None:
    """Replace the view and its routing table in one assignment."""
    current.derived = _derive(view)


def _derive(view: model.View) -> DerivedState:
    return DerivedState(view=view, table=routing.build_table(view))
