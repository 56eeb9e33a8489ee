"""The socket calls that the program makes, in one place.

Tests replace :attr:`Loop.sockets` by a subclass that injects the errors documented for Linux at chosen calls.
"""

from __future__ import annotations

import errno
import select
import socket
from datetime import timedelta
from typing import Final

PEEK_BYTES: Final = 1  # enough to see whether there is any data

#: Temporary resource shortages of this machine, which say nothing about the peer.
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
#: A send or receive that failed with these may be retried: no data was transferred, the connection is intact.
#: ETOOMANYREFS: too many sockets that were passed to other processes have not been received there.
RETRYABLE_ERRORS: Final = frozenset({errno.ENOBUFS, errno.ENOMEM, errno.ETOOMANYREFS})
RETRY_DELAY: Final = timedelta(milliseconds=10)  # before such a call is made again
#: Events of a poll that tell that the peer has closed its side, whatever it sent before that is unread.
PEER_CLOSED: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR
#: The operation would block or was interrupted; the selector reports when the socket is ready.
NOT_READY: Final = (BlockingIOError, InterruptedError)


class Sockets:
    """Each method is one system call, or a few that belong together."""

    def connect(self, host: str, port: int) -> socket.socket:
        """Return a socket that is connecting or connected; OSError if the connect cannot be started."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.connect((host, port))
        except NOT_READY:  # an interrupted connect continues in the background
            pass
        except OSError:
            self.close(sock)
            raise
        except (OverflowError, TypeError, ValueError) as error:  # no such address can exist
            self.close(sock)
            raise OSError(errno.EINVAL, str(error)) from None
        return sock

    def connect_error(self, sock: socket.socket) -> int:
        """Return the error number of a completed connect, 0 if it succeeded."""
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def accept(self, listening: socket.socket) -> socket.socket:
        """Accept one connection; BlockingIOError if none is pending."""
        return listening.accept()[0]

    def receive(self, sock: socket.socket, max_bytes: int) -> bytes:
        """Read available data; empty at end of stream."""
        return sock.recv(max_bytes)

    def peek(self, sock: socket.socket) -> bytes:
        """Return a part of the available data without consuming it; empty at end of stream."""
        return sock.recv(PEEK_BYTES, socket.MSG_PEEK)

    def poll_input(self, sock: socket.socket) -> int:
        """Return which of POLLIN, POLLRDHUP, POLLHUP and POLLERR hold; 0 if there is nothing to read."""
        poll = select.poll()
        poll.register(sock, select.POLLIN | select.POLLRDHUP)
        events = poll.poll(0)
        return events[0][1] if events else 0

    def send(self, sock: socket.socket, data: bytes | bytearray) -> int:
        """Write a part of the data; return the number of bytes written."""
        return sock.send(data)

    def receive_with_sockets(
        self, sock: socket.socket, max_bytes: int, max_sockets: int
    ) -> tuple[bytes, list[socket.socket]]:
        """Read available data from a Unix socket, with the sockets passed along with it."""
        data, descriptors, _, _ = socket.recv_fds(sock, max_bytes, max_sockets)
        return data, [socket.socket(fileno=descriptor) for descriptor in descriptors]

    def send_with_socket(self, sock: socket.socket, data: bytes | bytearray, passed: socket.socket) -> int:
        """Write a part of the data to a Unix socket and pass an open socket with it."""
        return socket.send_fds(sock, [data], [passed.fileno()])

    def send_to(self, sock: socket.socket, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        sock.sendto(data, address)

    def shut_down_sending(self, sock: socket.socket) -> None:
        """Shut down the sending direction."""
        sock.shutdown(socket.SHUT_WR)

    def close(self, sock: socket.socket) -> None:
        """Close the socket; an error about unsent data is ignored, as the descriptor is free in any case."""
        try:
            sock.close()
        except OSError:
            sock.detach()
