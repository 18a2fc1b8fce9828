"""A caller behind a slow link that sends further requests before an answer."""
import re
import socket
import threading
import time

READ_BYTES = 12_500
RECEIVE_BUFFER_BYTES = 64 << 10
# The slowest link of a caller: 10 Mbit/s.
BYTES_PER_SECOND = 1_250_000


class Answer:
    """One response; `complete` once all bytes of its length have arrived."""

    def __init__(self, status, head, length):
        self.status = status
        self.closes = b"connection: close" in head.lower()
        self.length = length
        # Bytes of the body that have arrived.
        self.received = 0

    @property
    def complete(self):
        return self.received == self.length


class SlowCaller(threading.Thread):
    """Sends `requests`, a list of (seconds, bytes) since the start, and reads
    the answers from `read_after_s` on, as fast as its link carries them.

    It sends nothing once it has read the head of an answer that closes the
    connection, and waits while `max_unanswered` answers are missing. It ends
    with its connection, when `answers` are complete, or after `end_s`.
    """

    def __init__(self, address, requests, read_after_s=0.0, end_s=12.0,
                 bytes_per_second=BYTES_PER_SECOND, half_closes=False,
                 max_unanswered=None, answers=None,
                 receive_buffer_bytes=RECEIVE_BUFFER_BYTES):
        super().__init__(daemon=True)
        host, port = address.rsplit(":", 1)
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                receive_buffer_bytes)
        self._socket.settimeout(10.0)
        try:
            self._socket.connect((host, int(port)))
        except OSError:
            self._socket.close()
            raise
        self._requests = list(requests)
        self._read_after_s = read_after_s
        self._end_s = end_s
        self._rate = bytes_per_second
        self._half_closes = half_closes
        self._max_unanswered = max_unanswered or len(self._requests)
        self._sent = 0
        self._expected = answers
        self._rest = b""
        self._start_time = time.monotonic()
        self.answers = []
        # "end" or "reset" once the connection has ended.
        self.ended = None

    def run(self):
        try:
            self._run()
        except OSError as error:
            self.ended = self.ended or f"reset ({error})"
        finally:
            self._socket.close()

    def _elapsed(self):
        return time.monotonic() - self._start_time

    def _run(self):
        self._start_time = time.monotonic()
        while (self._elapsed() < self._end_s and not self.ended and
               self.complete_answers() != self._expected):
            self._send_due()
            if self._elapsed() < self._read_after_s:
                time.sleep(0.005)
                continue
            started = time.monotonic()
            self._socket.settimeout(0.01)
            try:
                received = self._socket.recv(
                    min(READ_BYTES, max(1, self._rate // 100)))
            except TimeoutError:
                continue
            except ConnectionError as error:
                self.ended = f"reset ({error})"
                return
            if not received:
                self.ended = "end"
                return
            self._take(received)
            pause = started + len(received) / self._rate - time.monotonic()
            if pause > 0:
                time.sleep(pause)

    def _send_due(self):
        while (self._requests and self._elapsed() >= self._requests[0][0] and
               self._sent - self.complete_answers() < self._max_unanswered):
            _, payload = self._requests.pop(0)
            if any(answer.closes for answer in self.answers):
                continue
            self._socket.settimeout(10.0)
            try:
                self._socket.sendall(payload)
                self._sent += 1
            except ConnectionError:
                # The instance has closed; what has arrived is still read.
                self._requests.clear()
                return
            if self._half_closes and not self._requests:
                self._socket.shutdown(socket.SHUT_WR)

    def _take(self, received):
        self._rest += received
        while self._rest:
            if self.answers and not self.answers[-1].complete:
                answer = self.answers[-1]
                taken = min(answer.length - answer.received, len(self._rest))
                answer.received += taken
                self._rest = self._rest[taken:]
                continue
            head, separator, rest = self._rest.partition(b"\r\n\r\n")
            if not separator:
                return
            length = re.search(rb"\r\ncontent-length: (\d+)", head.lower())
            self.answers.append(Answer(
                int(head[9:12]), head, int(length.group(1)) if length else 0))
            self._rest = rest

    def complete_answers(self):
        return sum(answer.complete for answer in self.answers)
