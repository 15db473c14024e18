"""This node's share of the retry budget of each service."""

from collections.abc import Callable

from apricotpost.routing import retries
from apricotpost.sidecar import options

__all__ = ["RetryBudgets"]

# Fraction of the fleet's retry slack that is divided among the nodes.
BUDGET_FRACTION = 0.5
# Fraction of the allowed retry ratio that this budget uses. The calls that a
# retried request makes count as retries at the called services, too, and are
# not counted here.
RATIO_FRACTION = 0.35
# Fraction of the allowed retry ratio that can be saved up for bursts of
# failures.
BURST_FRACTION = 0.3


class RetryBudgets:
    """Retry budget of each service.

    Parameters
    ----------
    bounds : options.BoundOptions
        Retries that the fleet may make in a window.
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

    def budget_of(self, service: str) -> retries.Budget:
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
        base_limit = max(bounds.retry_slack * BUDGET_FRACTION / nodes, 1.0)
        budget = self.budgets.get(service)
        if budget is None:
            budget = retries.Budget(
                tokens=base_limit, per_call=bounds.retry_ratio * RATIO_FRACTION
            )
        self.budgets[service] = retries.earn_in_window(
            budget,
            base_limit=base_limit,
            limit_per_call=bounds.retry_ratio * BURST_FRACTION,
            window_seconds=bounds.retry_window_seconds,
            now=now,
        )

    def spend(self, service: str) -> None:
        """Charge the budget of a service for one more attempt."""
        self.budgets[service] = retries.spend(self.budgets[service])
