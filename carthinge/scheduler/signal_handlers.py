"""The signal handlers of the process, which pass signals on to the event loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable
from types import FrameType

from carthinge.net.loop import READ, Loop


def install_signal_handlers(
    loop: Loop, handle: Callable[[bytes], None]
) -> tuple[socket.socket, socket.socket]:
    """Receive signals as bytes on a socket, so that the event loop handles them in a turn.

    Returns the pair of sockets, which the caller has to keep: they close when they are no longer referenced.
    """
    wakeup_receiver, wakeup_sender = socket.socketpair()
    wakeup_receiver.setblocking(False)
    wakeup_sender.setblocking(False)
    signal.set_wakeup_fd(wakeup_sender.fileno())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
        signal.signal(number, _ignore)
    loop.register(wakeup_receiver, READ, lambda _: handle(wakeup_receiver.recv(64)))
    return wakeup_receiver, wakeup_sender


def _ignore(number: int, frame: FrameType | None) -> None:
    """Do nothing: the wake-up socket has received the signal already."""
