"""Service levels: counts of calls, burn rates and error budgets."""
