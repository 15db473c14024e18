"""Node whose tasks share one asyncio event loop."""
