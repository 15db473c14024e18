"""The node as tasks of one event loop."""
