"""Serve prompts of very unlike lengths through one fleet of model engines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
