"""What schedulers decide together, or each alone by the same rule: no I/O, no clock."""
