"""What goes wrong with a store; apart, so that it can be named without loading one."""


class StoreError(Exception):
    """The store cannot be used, or something in it cannot be read; the text names the file and the fault."""
