"""A loopback relay of the schedulers' datagrams: it drops, duplicates, delays and blocks them by seed."""

import contextlib
import random
import select
import socket
import threading
import time
from heapq import heappop, heappush

from world import HOST


class Relay:
    """Each scheduler listens at its own address and advertises one of the relay's to the others."""

    def __init__(self, count, seed=1, loss=0.0, duplication=0.0, delay=0.0):
        """``delay``: the maximum, in seconds; delays differ, so that datagrams are reordered."""
        self.fault_rates = (loss, duplication, delay)
        self.relay_sockets = [self._bound() for _ in range(count)]
        bound = [self._bound() for _ in range(count)]
        self.scheduler_addresses = [sock.getsockname() for sock in bound]
        for sock in bound:
            sock.close()
        self.cuts = set()  # pairs (sender, receiver) of scheduler numbers whose datagrams are blocked
        self.passed = 0
        self._rng = random.Random(seed)
        self._delayed = []
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    @staticmethod
    def _bound():
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((HOST, 0))
        return sock

    def operator_file(self, number, period=0.1, key_file=""):
        """Return the text of that scheduler's operator file."""
        addresses = ["{}:{}".format(*sock.getsockname()) for sock in self.relay_sockets]
        listen = "{}:{}".format(*self.scheduler_addresses[number])
        return (
            f"[fleet]\nlisten = '{listen}'\nadvertise = '{addresses[number]}'\nmembers = {addresses}\n"
            f"period = {period}\nkey_file = '{key_file}'\n"
        )

    def cut(self, *pairs):
        self.cuts = set(pairs)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopped = True
        self._thread.join()
        for sock in self.relay_sockets:
            sock.close()

    def _run(self):
        while not self._stopped:
            loss, duplication, delay = self.fault_rates
            wait = min(0.05, max(0.0, self._delayed[0][0] - time.monotonic())) if self._delayed else 0.05
            for sock in select.select(self.relay_sockets, [], [], wait)[0]:
                data, source = sock.recvfrom(2048)
                receiver = self.relay_sockets.index(sock)
                sender = (
                    self.scheduler_addresses.index(source) if source in self.scheduler_addresses else None
                )
                if (sender, receiver) in self.cuts:
                    continue
                for _ in range(1 + (self._rng.random() < duplication)):
                    if self._rng.random() >= loss:
                        due = time.monotonic() + self._rng.random() * delay
                        heappush(self._delayed, (due, self._rng.random(), receiver, data))
            while self._delayed and self._delayed[0][0] <= time.monotonic():
                _, _, receiver, data = heappop(self._delayed)
                with contextlib.suppress(ConnectionRefusedError):
                    self.relay_sockets[receiver].sendto(data, self.scheduler_addresses[receiver])
                self.passed += 1
