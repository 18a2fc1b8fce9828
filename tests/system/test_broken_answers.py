"""Answers that break off do not reach callers as complete.

An upstream answers before it has read the request, sends a part of the body and
ends the connection. The tests check what the caller gets.
"""
import http.client
import itertools
import tempfile
import unittest

import processes
from platform_processes import PlatformDaemon
from raw_upstream import RawUpstream

MEMORY_MB = 2048
MAX_BODY_BYTES = 64 << 20
# From what the system takes at once to what stays under way until the end.
UPLOAD_BYTES = (0, 1_000_000, 16_000_000)
PART_BYTES = (0, 1000, 300_000)
# (bytes of the request that are read, pause before the end in ms, end)
RESETS = ((0, 0, "reset"), (0, 200, "close"), (500_000, 200, "reset"))
WITHOUT_LENGTH = ("none", "http-1.0", "close", "gzip")
WITH_LENGTH = ("length", "chunked")


class BrokenAnswersTest(unittest.TestCase):
    def start(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        upstream = RawUpstream()
        self.addCleanup(upstream.close)
        self.daemon = PlatformDaemon(folder.name, MEMORY_MB, MAX_BODY_BYTES,
                                     upstream_address=upstream.address)
        self.addCleanup(self.daemon.stop)

    def answer_to(self, upload_bytes, **query):
        """Returns (status, bytes of the body), or None without an answer."""
        target = "/?" + "&".join(f"{name.replace('_', '-')}={value}"
                                 for name, value in query.items())
        try:
            status, _, body = processes.request(
                self.daemon.caller, "POST", target, bytes(upload_bytes),
                {"Host": "a.example", "X-Pollenrudder-Request-Id": "own"},
                timeout_s=30.0)
            return status, len(body)
        except (OSError, http.client.HTTPException):
            return None
        finally:
            # The pause after several failures in a row is longer.
            self.daemon.answers(b"")

    # Guards against a part of a body that reaches the caller as the whole one
    # because the end of its connection counts as the end of the body.
    def test_reset_before_the_request_is_read(self):
        self.start()
        for upload, framing, part, (read, hold_ms, end) in itertools.product(
                UPLOAD_BYTES, WITHOUT_LENGTH + WITH_LENGTH, PART_BYTES, RESETS):
            # Without unread bytes, a close is a clean end.
            if end == "close" and upload == 0:
                continue
            # Without a part of the body, the framing matters little.
            if part == 0 and framing not in ("none", "length"):
                continue
            answer = self.answer_to(upload, framing=framing, bytes=part,
                                    read=read, hold_ms=hold_ms, end=end)
            with self.subTest(upload=upload, framing=framing, part=part,
                              end=(read, hold_ms, end), answer=answer):
                self.assertNotEqual(answer and answer[0], 200)

    # Guards against a part of a body with a length or of chunks that is
    # delivered because the connection was closed without a reset.
    def test_clean_end_before_the_body_is_complete(self):
        self.start()
        for upload, framing, part, hold_ms in itertools.product(
                UPLOAD_BYTES, WITH_LENGTH, PART_BYTES[1:], (0, 200)):
            answer = self.answer_to(upload, framing=framing, bytes=part, read=0,
                                    hold_ms=hold_ms, end="shutdown")
            with self.subTest(upload=upload, framing=framing, part=part,
                              hold_ms=hold_ms, answer=answer):
                self.assertNotEqual(answer and answer[0], 200)

    # Guards against whole answers without a length that are taken for broken.
    def test_clean_end_of_a_body_without_length(self):
        self.start()
        for upload, framing, size, hold_ms in itertools.product(
                UPLOAD_BYTES, ("none", "http-1.0", "close"), PART_BYTES,
                (0, 200)):
            answer = self.answer_to(upload, framing=framing, bytes=size, read=0,
                                    hold_ms=hold_ms, end="shutdown")
            with self.subTest(upload=upload, framing=framing, hold_ms=hold_ms):
                self.assertEqual(answer, (200, size))

    # Guards against a late copy of the answer to another request that reaches a
    # caller because it ends with its connection.
    def test_answer_to_another_request(self):
        self.start()
        for upload, framing, size, hold_ms in itertools.product(
                UPLOAD_BYTES, ("none", "http-1.0", "close"), PART_BYTES,
                (0, 200)):
            answer = self.answer_to(upload, framing=framing, bytes=size, read=0,
                                    hold_ms=hold_ms, end="shutdown", id="other")
            with self.subTest(upload=upload, framing=framing, size=size,
                              hold_ms=hold_ms, answer=answer):
                self.assertNotEqual(answer and answer[0], 200)


if __name__ == "__main__":
    unittest.main()
