"""Runs a few dozen scheduler processes under random, overlapping faults and checks invariants on them."""
