"""A caller that lets a server stand still while the rest of a request arrives.

A program of its own, as the server runs in the process that is stopped. It writes
what came after the first answer to standard output.
"""

from os import kill
from signal import SIGCONT, SIGSTOP
from socket import create_connection
from sys import argv, stdout
from time import sleep
from typing import Final

FIRST: Final = b'GET /first HTTP/1.1\r\nHost: h\r\n\r\n'
LAST: Final = b'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
_LIMIT_SECONDS: Final = 20.0
# Time in which the server takes what was sent, and stops.
_PAUSE_SECONDS: Final = 0.1
_READ_BYTES: Final = 65_536


def main() -> None:
    """Send a whole request, then one whose rest comes in a standstill."""
    port, process, begun, seconds = argv[1:]
    with create_connection(('127.0.0.1', int(port)), _LIMIT_SECONDS) as caller:
        caller.sendall(FIRST)
        answer = b''
        while not answer.endswith(b'\r\n\r\n'):
            answer += caller.recv(_READ_BYTES)
        caller.sendall(LAST[: int(begun)])
        sleep(_PAUSE_SECONDS)
        kill(int(process), SIGSTOP)
        try:
            sleep(_PAUSE_SECONDS)
            caller.sendall(LAST[int(begun) :])
            sleep(float(seconds))
        finally:
            kill(int(process), SIGCONT)
        while received := caller.recv(_READ_BYTES):
            stdout.buffer.write(received)


if __name__ == '__main__':
    main()
