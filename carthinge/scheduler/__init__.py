"""One scheduler put together from all parts: its start, its turns, an upgrade, its end."""
