"""What schedulers decide as one, each from its settings and what it sees: no I/O, no clock, no talk."""
