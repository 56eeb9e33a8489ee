"""The socket calls that the program makes, in one place.

Production and tests use the same calls: a test replaces :attr:`Loop.sockets` by a subclass whose calls fail
in the ways that Linux documents, at the moment that the test chooses.
"""

from __future__ import annotations

import errno
import socket
from typing import Final

PEEKED: Final = 1  # bytes: whether there is anything is all that is asked

#: Shortages of this machine that pass by themselves.  They say nothing of the other side.
LOCAL_SHORTAGES: Final = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.ENOSPC,
        errno.EINTR,
    }
)
#: A send or receive that failed so may be made again: nothing was taken, and the connection stands.
TRY_AGAIN: Final = frozenset({errno.ENOBUFS, errno.ENOMEM})
#: Nothing can be done on a socket just now; the selector tells when it can.
NOT_READY: Final = (BlockingIOError, InterruptedError)


class Sockets:
    """Each method is one system call, or the few that belong together."""

    def connect(self, host: str, port: int) -> socket.socket:
        """A socket that is connecting or connected; OSError where not even that is possible."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.connect((host, port))
        except NOT_READY:  # an interrupted connect goes on like any other
            pass
        except OSError:
            self.close(sock)
            raise
        return sock

    def connect_error(self, sock: socket.socket) -> int:
        """The error number of a connect that is over, 0 where it succeeded."""
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def accept(self, listening: socket.socket) -> socket.socket:
        """Accept one connection; BlockingIOError where none waits."""
        return listening.accept()[0]

    def receive(self, sock: socket.socket, most: int) -> bytes:
        """Read what has come, empty at the other side's end."""
        return sock.recv(most)

    def peek(self, sock: socket.socket) -> bytes:
        """What waits to be read, or a part of it, which stays there; empty at the other side's end."""
        return sock.recv(PEEKED, socket.MSG_PEEK)

    def send(self, sock: socket.socket, data: bytes | bytearray) -> int:
        """Write a part of the data; return how many bytes."""
        return sock.send(data)

    def receive_with_sockets(
        self, sock: socket.socket, most: int, most_sockets: int
    ) -> tuple[bytes, list[socket.socket]]:
        """Read what has come on a Unix socket, and the open sockets that came along."""
        data, descriptors, _, _ = socket.recv_fds(sock, most, most_sockets)
        return data, [socket.socket(fileno=descriptor) for descriptor in descriptors]

    def send_with_socket(self, sock: socket.socket, data: bytes | bytearray, along: socket.socket) -> int:
        """Write a part of the data to a Unix socket, and an open socket with it."""
        return socket.send_fds(sock, [data], [along.fileno()])

    def send_to(self, sock: socket.socket, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        sock.sendto(data, address)

    def end_sending(self, sock: socket.socket) -> None:
        """Tells the other side that nothing more will come."""
        sock.shutdown(socket.SHUT_WR)

    def close(self, sock: socket.socket) -> None:
        """The descriptor is free afterwards, whatever the call says of what was still to be sent."""
        try:
            sock.close()
        except OSError:
            sock.detach()
