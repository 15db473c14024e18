"""Randomized soak test of event-loop node processes with injected faults."""
