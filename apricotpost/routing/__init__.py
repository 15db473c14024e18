"""Routes, choices, retries and the calls in flight."""

import lazy_loader

# Modules are imported on first use: a process that needs a few of them starts
# faster and takes less memory. The names stand in the stub beside this file.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
