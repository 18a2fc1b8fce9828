"""A single request of the largest legal size is served on a small machine.

The tests check that the request is answered, that the process is alive and that
its peak resident memory stays under its memory-mb.
"""
import socket
import tempfile
import unittest

from platform_processes import PlatformDaemon

MAX_BODY_BYTES = 64 << 20
CHUNK_BYTES = 64 << 10
HEAD = b"POST / HTTP/1.1\r\nHost: a.example\r\n"


def announced():
    return (HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES +
            bytes(MAX_BODY_BYTES))


def chunked(chunk_bytes):
    chunk = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    return (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" +
            chunk * (MAX_BODY_BYTES // chunk_bytes) + b"0\r\n\r\n")


class LargeRequestsTest(unittest.TestCase):
    def check_is_served(self, memory_mb, payload):
        with tempfile.TemporaryDirectory() as folder:
            daemon = PlatformDaemon(folder, memory_mb, MAX_BODY_BYTES)
            self.addCleanup(daemon.stop)
            host, port = daemon.caller.split(":")
            with socket.create_connection((host, int(port)), 30) as caller:
                try:
                    caller.sendall(payload)
                except OSError:
                    pass  # Refused before the end; the response says so.
                self.assertEqual(caller.recv(12), b"HTTP/1.1 200")
            self.assertTrue(daemon.running(), daemon.output()[-2000:])
            self.assertTrue(daemon.answers(b"x"))
            self.assertLess(daemon.peak_resident_bytes(), memory_mb << 20)

    def test_announced_on_120_mb(self):
        self.check_is_served(120, announced())

    def test_chunked_on_120_mb(self):
        self.check_is_served(120, chunked(CHUNK_BYTES))

    def test_announced_on_160_mb(self):
        self.check_is_served(160, announced())

    def test_chunked_on_160_mb(self):
        self.check_is_served(160, chunked(CHUNK_BYTES))


if __name__ == "__main__":
    unittest.main()
