"""What schedulers decide together, or each alone in the same way: no I/O, no clock."""
