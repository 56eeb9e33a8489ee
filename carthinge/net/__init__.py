"""The I/O of the scheduler: sockets, timers and HTTP.  All decisions are made by the decision module."""
