"""Crowds at the listeners for probes, metrics and other instances.

The tests check that the process is alive, that its peak resident memory and its
sockets stay under a bound that follows from its memory-mb and max-fds, and that
one ordinary request is answered afterwards. They check no times.
"""
import itertools
import os
import sys
import tempfile
import unittest

import processes
from crowd import Crowd
from platform_processes import PlatformDaemon

MEMORY_MB = 64
MAX_FDS = 600
# Of the descriptors, these are for files.
FILE_FDS = 200
MAX_BODY_BYTES = 1 << 20
# Bytes that a body stopped short lacks.
MISSING_BYTES = 1000
CALLERS = 150
IDLE_CALLERS = 800
# Only a process that hangs needs longer.
ANSWER_TIMEOUT_S = 120.0
ORDINARY_BODY = bytes(64 << 10)
HEAD = b"POST / HTTP/1.1\r\nHost: a.example\r\n"


def bodies_that_stop_short():
    return iter([HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES +
                 bytes(MAX_BODY_BYTES - MISSING_BYTES)])


def endless_chunks():
    chunk = b"10000\r\n" + bytes(1 << 16) + b"\r\n"
    return itertools.chain(
        [HEAD + b"Transfer-Encoding: chunked\r\n\r\n"],
        itertools.repeat(chunk, 8 * MAX_BODY_BYTES >> 16))


def requests_without_reading():
    return itertools.repeat(
        b"GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n" * 100, 100)


class OtherListenersTest(unittest.TestCase):
    def check_crowd(self, listener, payloads, count=CALLERS):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        daemon = PlatformDaemon(folder.name, MEMORY_MB, MAX_BODY_BYTES,
                                max_fds=MAX_FDS)
        self.addCleanup(daemon.stop)
        crowd = Crowd(daemon.listeners[listener], count, payloads)
        self.addCleanup(crowd.close)
        crowd.send()

        def is_answered():
            self.assertTrue(daemon.running(), daemon.output()[-2000:])
            return daemon.answers(ORDINARY_BODY)

        processes.wait_until(is_answered, "an ordinary request is answered",
                             ANSWER_TIMEOUT_S)
        peak = daemon.peak_resident_bytes()
        if os.environ.get("POLLENRUDDER_PRINT_PEAKS"):
            print(f"{self.id()}: peak {peak / 2**20:.1f} MiB,"
                  f" {daemon.sockets()} sockets", file=sys.stderr)
        self.assertLess(peak, MEMORY_MB << 20)
        self.assertLess(daemon.sockets(), MAX_FDS - FILE_FDS)

    def test_ready_bodies_that_stop_short(self):
        self.check_crowd("ready", bodies_that_stop_short)

    def test_ready_endless_chunks(self):
        self.check_crowd("ready", endless_chunks)

    def test_ready_idle_connections(self):
        self.check_crowd("ready", lambda: iter([]), IDLE_CALLERS)

    def test_metrics_bodies_that_stop_short(self):
        self.check_crowd("metrics", bodies_that_stop_short)

    def test_metrics_responses_that_nobody_reads(self):
        self.check_crowd("metrics", requests_without_reading)

    def test_instances_bodies_that_stop_short(self):
        self.check_crowd("instances", bodies_that_stop_short)

    def test_callers_idle_connections(self):
        self.check_crowd("caller", lambda: iter([]), IDLE_CALLERS)

    def test_callers_heads_that_never_end(self):
        self.check_crowd(
            "caller", lambda: iter([HEAD + b"X-Field: x"]), IDLE_CALLERS)


if __name__ == "__main__":
    unittest.main()
