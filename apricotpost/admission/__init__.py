"""Admission of calls to the local backend server."""

import lazy_loader

# Modules are imported on first use, so that a process that needs only some of
# them starts faster and uses less memory. The stub beside this file lists the
# exported names.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
