"""Distribution of configuration versions and withdrawals to all nodes."""

import lazy_loader

# Modules are imported on first use, which shortens the start and saves memory
# in processes that need only some of them. The stub beside this file lists the
# names.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
