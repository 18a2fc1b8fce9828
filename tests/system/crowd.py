"""Callers that send more than they should, all from one thread."""
import selectors
import socket
import time

# The crowd has sent what it can once nobody was able to send for this long.
QUIET_S = 1.0
SEND_BYTES = 1 << 16


class Crowd:
    """Connections that send a payload and read nothing.

    `payloads` is called for each caller and returns its parts, which may be
    endless. Errors are ignored: an instance may refuse or close. The
    connections stay open until close().
    """

    def __init__(self, address, count, payloads):
        host, port = address.rsplit(":", 1)
        self._address = (host, int(port))
        self._selector = selectors.DefaultSelector()
        self._callers = []
        for _ in range(count):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(self._address)
            self._callers.append(caller)
            self._selector.register(caller, selectors.EVENT_WRITE,
                                    [iter(payloads()), b""])

    def send(self, observe=lambda: None):
        """Sends until the crowd is quiet; calls observe() meanwhile."""
        last_progress = time.monotonic()
        while (self._selector.get_map() and
               time.monotonic() - last_progress < QUIET_S):
            for key, _ in self._selector.select(QUIET_S / 10):
                if self._send_some(key.fileobj, key.data):
                    last_progress = time.monotonic()
            observe()
        observe()

    def _send_some(self, caller, state):
        parts, rest = state
        try:
            rest = rest or next(parts)
            sent = caller.send(rest[:SEND_BYTES])
            state[1] = rest[sent:]
            return sent > 0
        except BlockingIOError:
            state[1] = rest
            return False
        except (StopIteration, OSError):
            self._selector.unregister(caller)
            return True

    def close(self):
        self._selector.close()
        for caller in self._callers:
            caller.close()


def unread_bytes(*addresses):
    """Returns the bytes that were received on connections to these local
    addresses, "127.0.0.1:port", and not read yet."""
    ports = {f"{int(address.rsplit(':', 1)[1]):04X}" for address in addresses}
    listening = "0A"
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            _, local, _, state, queues = line.split()[:5]
            if local.split(":")[1] in ports and state != listening:
                total += int(queues.split(":")[1], 16)
    return total
