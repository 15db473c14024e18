"""Service mesh: carries calls and distributes configuration."""

__all__ = ["__version__"]

__version__ = "0.1.0"
