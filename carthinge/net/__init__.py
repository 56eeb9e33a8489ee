"""The real scheduler: sockets, timers and HTTP around the decision module, which decides everything."""
