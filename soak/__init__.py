"""Randomized soak of event-loop nodes as processes, with injected faults."""
