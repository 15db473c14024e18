"""Rollouts of new versions: evidence, decisions, configuration changes."""

import lazy_loader

# Modules are imported on first use, so that a process that needs only a few
# of them starts faster and takes less memory. The public names are listed in
# the stub file `__init__.pyi`.
__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
