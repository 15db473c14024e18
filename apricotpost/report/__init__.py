"""Service levels: counts, burn of the error budget and its report."""
