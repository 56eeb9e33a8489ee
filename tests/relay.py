"""A loopback relay between schedulers that talk: it loses, repeats, delays and cuts datagrams by seed."""

import contextlib
import random
import select
import socket
import threading
import time
from heapq import heappop, heappush

from world import HOST


class Relay:
    """Each scheduler listens at an address of its own and is known to the others by one of the relay's."""

    def __init__(self, count, seed=1, loss=0.0, twice=0.0, delay=0.0):
        """``delay``: at the most, in seconds; what is delayed less overtakes."""
        self.rough = (loss, twice, delay)
        self.fronts = [self._bound() for _ in range(count)]
        held = [self._bound() for _ in range(count)]
        self.homes = [sock.getsockname() for sock in held]
        for sock in held:
            sock.close()
        self.cuts = set()  # pairs of numbers: from the first to the second nothing passes
        self.passed = 0
        self._rng = random.Random(seed)
        self._late = []
        self._over = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    @staticmethod
    def _bound():
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((HOST, 0))
        return sock

    def file(self, number, period=0.1, key_file=""):
        """What the operator's file of that scheduler says."""
        fronts = ["{}:{}".format(*sock.getsockname()) for sock in self.fronts]
        home = "{}:{}".format(*self.homes[number])
        return (
            f"[fleet]\nlisten = '{home}'\nadvertise = '{fronts[number]}'\nmembers = {fronts}\n"
            f"period = {period}\nkey_file = '{key_file}'\n"
        )

    def cut(self, *pairs):
        self.cuts = set(pairs)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._over = True
        self._thread.join()
        for sock in self.fronts:
            sock.close()

    def _run(self):
        while not self._over:
            loss, twice, delay = self.rough
            wait = min(0.05, max(0.0, self._late[0][0] - time.monotonic())) if self._late else 0.05
            for sock in select.select(self.fronts, [], [], wait)[0]:
                data, source = sock.recvfrom(2048)
                to = self.fronts.index(sock)
                sender = self.homes.index(source) if source in self.homes else None
                if (sender, to) in self.cuts:
                    continue
                for _ in range(1 + (self._rng.random() < twice)):
                    if self._rng.random() >= loss:
                        due = time.monotonic() + self._rng.random() * delay
                        heappush(self._late, (due, self._rng.random(), to, data))
            while self._late and self._late[0][0] <= time.monotonic():
                _, _, to, data = heappop(self._late)
                with contextlib.suppress(ConnectionRefusedError):
                    self.fronts[to].sendto(data, self.homes[to])
                self.passed += 1
