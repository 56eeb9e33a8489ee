"""Hostile clients and stub workers in processes of their own, so that they do not delay what they measure."""
