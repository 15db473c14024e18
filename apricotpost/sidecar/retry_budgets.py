"""This node's part of the retry budget of each service."""

from collections.abc import Callable

from apricotpost.routing import retries
from apricotpost.sidecar import options

__all__ = ["RetryBudgets"]

# Part of the fleet's retry budget that is handed out to the nodes.
BUDGET_PART = 0.5
# Part of the allowed ratio. The calls that a repeated run makes count as
# repeats at the services that it calls, and those are not seen here.
RATIO_PART = 0.35
# Part of the allowed ratio that is saved up for failures that come together.
BURST_PART = 0.3


class RetryBudgets:
    """Budgets by service.

    Parameters
    ----------
    bounds : options.BoundOptions
        What the fleet may spend in a window.
    count_nodes : callable
        Returns the number of known nodes.
    """

    def __init__(
        self,
        *,
        bounds: options.BoundOptions,
        count_nodes: Callable[[], int],
    ) -> None:
        self.bounds = bounds
        self.count_nodes = count_nodes
        self.budgets: dict[str, retries.Budget] = {}

    def of(self, service: str) -> retries.Budget:
        """Return the budget of a service that was called."""
        return self.budgets[service]

    def earn(self, service: str, now: float) -> None:
        """Credit the budget of a service for one request.

        Parameters
        ----------
        service : str
            The service.
        now : float
            Monotonic time, in seconds.
        """
        bounds = self.bounds
        nodes = max(self.count_nodes(), 1)
        base = max(bounds.retry_slack * BUDGET_PART / nodes, 1.0)
        budget = self.budgets.get(service)
        if budget is None:
            budget = retries.Budget(
                tokens=base, per_call=bounds.retry_ratio * RATIO_PART
            )
        self.budgets[service] = retries.earn_in_window(
            budget,
            base=base,
            burst=bounds.retry_ratio * BURST_PART,
            window=bounds.retry_window_seconds,
            now=now,
        )

    def spend(self, service: str) -> None:
        """Charge the budget of a service for one more attempt."""
        self.budgets[service] = retries.spend(self.budgets[service])
