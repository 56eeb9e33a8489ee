"""The scheduler assembled from its parts: start, event loop, upgrade and shutdown."""
