"""carthinge: a push scheduler for job workers; this package exports its decision module."""

from carthinge.policy import Dispatcher

__version__ = "0.1.0"
__all__ = ["Dispatcher", "__version__"]
