"""A few dozen real schedulers under random, overlapping faults, judged by what must always hold."""
