"""Errors of the store; in a module of their own, which does not import the store."""


class StoreError(Exception):
    """The store cannot be used, or something in it cannot be read; the text names the file and the fault."""
