"""carthinge: the decisions of a dispatcher that pushes jobs to workers."""

from carthinge.policy import Dispatcher

__version__ = "0.1.0"
__all__ = ["Dispatcher", "__version__"]
