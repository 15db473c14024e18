"""Configuration distribution for a service mesh."""

__all__ = ["__version__"]

__version__ = "0.1.0"
