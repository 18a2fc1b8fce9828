"""The memory of an instance includes what it received and has not read.

The tests check that the resident memory of the process and the unread bytes of
its sockets together stay under its memory-mb, that the process is alive, and
that one ordinary request is answered afterwards. They check no times.
"""
import itertools
import os
import sys
import tempfile
import unittest

import processes
from crowd import Crowd, unread_bytes
from platform_processes import PlatformDaemon

MEMORY_MB = 64
MAX_BODY_BYTES = 1 << 20
CALLERS = 1000
# Only a process that hangs needs longer.
ANSWER_TIMEOUT_S = 120.0
ORDINARY_BODY = bytes(64 << 10)
HEAD = b"POST / HTTP/1.1\r\nHost: a.example\r\n"


class UnreadBytesTest(unittest.TestCase):
    def start(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.daemon = PlatformDaemon(folder.name, MEMORY_MB, MAX_BODY_BYTES)
        self.addCleanup(self.daemon.stop)
        self.peak = 0

    def observe(self):
        if self.daemon.running():
            self.peak = max(self.peak, self.daemon.resident_bytes() +
                            unread_bytes(self.daemon.caller))

    def start_crowd(self, payloads):
        crowd = Crowd(self.daemon.caller, CALLERS, payloads)
        self.addCleanup(crowd.close)
        return crowd

    def check_alive(self):
        def is_answered():
            self.assertTrue(self.daemon.running(),
                            self.daemon.output()[-2000:])
            self.observe()
            return self.daemon.answers(ORDINARY_BODY)

        processes.wait_until(is_answered, "an ordinary request is answered",
                             ANSWER_TIMEOUT_S)
        if os.environ.get("POLLENRUDDER_PRINT_PEAKS"):
            print(f"{self.id()}: peak {self.peak / 2**20:.1f} MiB",
                  file=sys.stderr)
        self.assertLess(self.peak, MEMORY_MB << 20)

    def test_requests_whose_responses_are_not_read(self):
        self.start()
        request = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
        self.start_crowd(
            lambda: itertools.repeat(request * 1000)).send(self.observe)
        self.check_alive()

    def test_bodies_that_arrive_while_the_instance_is_frozen(self):
        self.start()
        payload = (HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES +
                   bytes(MAX_BODY_BYTES))
        crowd = self.start_crowd(lambda: iter([payload]))
        processes.wait_until(
            lambda: self.daemon.descriptors() > CALLERS // 2,
            "the connections are accepted")
        self.daemon.freeze()
        crowd.send(self.observe)
        self.daemon.resume()
        crowd.send(self.observe)
        self.check_alive()


if __name__ == "__main__":
    unittest.main()
