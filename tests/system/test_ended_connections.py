"""Answers on connections that the instance, the caller or a limit ends.

A caller behind a slow link has sent further bytes by the time at which its
connection ends. The tests check that every answer of which the caller has sent
the whole request arrives complete if the upstream has run the request.
"""
import itertools
import signal
import tempfile
import time
import unittest

from platform_processes import PlatformDaemon
from slow_caller import SlowCaller

MEMORY_MB = 2048
MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 16384
# From less than the receive buffer of the caller to more than the send buffer
# of the instance when the connection is new.
ANSWER_BYTES = (60_000, 540_000, 2_000_000)
FRAMINGS = ("length", "chunked", "close")
SMALL_BODY = bytes(3000)


def get(request_id, answer_bytes=0, work_ms=0, framing="length", fields=""):
    return (f"GET /?bytes={answer_bytes}&work-ms={work_ms}&framing={framing}"
            " HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Pollenrudder-Request-Id: {request_id}\r\n{fields}\r\n").encode()


def post(request_id, fields, body):
    return (f"POST /?bytes=100 HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Pollenrudder-Request-Id: {request_id}\r\n{fields}\r\n"
            ).encode() + body


def whole_requests(request_id):
    """Returns requests of each framing by name."""
    return {
        "get": get(request_id, 100),
        "length": post(request_id, f"Content-Length: {len(SMALL_BODY)}\r\n",
                       SMALL_BODY),
        "chunked": post(request_id, "Transfer-Encoding: chunked\r\n",
                        b"%x\r\n%b\r\n0\r\n\r\n" %
                        (len(SMALL_BODY), SMALL_BODY))}


class EndedConnectionsTest(unittest.TestCase):
    def start(self, **limits):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.daemon = PlatformDaemon(folder.name, MEMORY_MB, MAX_BODY_BYTES,
                                     slots=1000, **limits)
        self.addCleanup(self.daemon.stop)
        self.callers = []

    def add_caller(self, name, request_ids, requests, **options):
        caller = SlowCaller(self.daemon.caller, requests, **options)
        self.callers.append((name, request_ids, caller))
        caller.start()
        return caller

    def check_answers(self, min_answers=1):
        """Each request that ran has a complete answer, in order."""
        for name, request_ids, caller in self.callers:
            caller.join()
            run = [request_id for request_id in request_ids
                   if self.daemon.has_run(request_id)]
            seen = [(answer.status, answer.received, answer.length)
                    for answer in caller.answers]
            with self.subTest(caller=name, ended=caller.ended, seen=seen):
                self.assertGreaterEqual(
                    caller.complete_answers(), max(min_answers, len(run)))
                self.assertEqual(caller.answers[0].status, 200)

    # Guards against large answers that a planned stop cuts because the caller
    # has sent another request or a part of one.
    def test_planned_stop_with_bytes_behind_a_request(self):
        self.start()
        stop_s = 0.5
        # The instance reads no more requests 2.6 s after the stop begins.
        answer_s = stop_s + 3.0
        framings = itertools.cycle(FRAMINGS)
        for size, moment_s in itertools.product(
                ANSWER_BYTES, (0.0, 1.0, 2.4, 2.8, 3.1)):
            label = f"{size}-{moment_s}"
            behind = whole_requests(f"{label}-2")
            behind["part"] = behind["length"][:-1]
            for (kind, payload), framing in zip(behind.items(), framings):
                name = f"{label}-{kind}"
                self.add_caller(
                    name, [f"{name}-1"],
                    [(0.0, get(f"{name}-1", size, int(answer_s * 1000),
                               framing)),
                     (stop_s + moment_s, payload)],
                    read_after_s=answer_s + 0.3)
        time.sleep(stop_s)
        self.daemon.terminate()
        self.check_answers()

    # As above, for answers that are written before the stop, so that they
    # do not announce the end of the connection.
    def test_planned_stop_while_answers_are_read(self):
        self.start()
        stop_s = 0.5
        for size, moment_s in itertools.product(
                (2_000_000, 4_000_000), (0.1, 1.0, 2.7)):
            name = f"{size}-{moment_s}"
            self.add_caller(
                name, [f"{name}-1", f"{name}-2"],
                [(0.0, get(f"{name}-1", size)),
                 (stop_s + moment_s, get(f"{name}-2", 100))])
        time.sleep(stop_s)
        self.daemon.terminate()
        self.check_answers()

    # As above, for answers that are still on their way when the process ends.
    def test_planned_stop_that_ends_while_answers_are_read(self):
        self.start()
        stop_s = 0.5
        # The grace period is 6 s, and the last answers take 3.2 s to read.
        answer_s = stop_s + 4.3
        framings = itertools.cycle(FRAMINGS)
        for size, moment_s in itertools.product(
                (2_000_000, 4_000_000), (0.0, 2.8, 4.5)):
            name = f"{size}-{moment_s}"
            self.add_caller(
                name, [f"{name}-1"],
                [(0.0, get(f"{name}-1", size, int(answer_s * 1000),
                           next(framings))),
                 (stop_s + moment_s, get(f"{name}-2", 100))],
                read_after_s=answer_s + 0.3)
        time.sleep(stop_s)
        self.daemon.terminate()
        self.check_answers()
        self.assertFalse(self.daemon.running())

    # Guards against requests that run without an answer because they are sent
    # just as a planned stop ends their connection.
    def test_next_request_as_the_connection_ends(self):
        self.start()
        for number in range(20):
            # Between two requests, some callers are idle for long enough that
            # their connection is closed.
            pause_s = (0.0, 0.01, 0.3, 0.34)[number % 4]
            ids = [f"{number}-{index}" for index in range(400)]
            self.add_caller(
                str(number), ids,
                [(index * pause_s, whole_requests(request_id)["length"])
                 for index, request_id in enumerate(ids)],
                max_unanswered=1, end_s=4.0)
        time.sleep(0.5)
        self.daemon.terminate()
        self.check_answers()

    # Guards against answers that are cut because the caller, which wants the
    # connection to end, has sent bytes behind its request.
    def test_bytes_behind_the_last_request(self):
        self.start()
        framings = itertools.cycle(FRAMINGS)
        for size, moment_s in itertools.product(
                ANSWER_BYTES, (0.0, 0.1, 0.3)):
            label = f"{size}-{moment_s}"
            behind = whole_requests(f"{label}-2")
            for (kind, payload), framing in zip(behind.items(), framings):
                name = f"{label}-{kind}"
                self.add_caller(
                    name, [f"{name}-1"],
                    [(0.0, get(f"{name}-1", size, 0, framing,
                               "Connection: close\r\n")),
                     (moment_s, payload)],
                    read_after_s=0.5)
        self.check_answers()

    # Guards against answers that are cut because a request behind them is
    # refused and more of it arrives.
    def test_refused_request_behind_an_answer(self):
        self.start()
        refused = {
            "malformed": b"no request\r\n\r\n" + bytes(3000),
            "header": b"GET / HTTP/1.1\r\nX: " + b"x" * (2 * MAX_HEADER_BYTES),
            "body": post("never", f"Content-Length: {2 * MAX_BODY_BYTES}\r\n",
                         bytes(100_000))}
        for size, (kind, payload), moment_s in itertools.product(
                ANSWER_BYTES, refused.items(), (0.0, 0.2)):
            name = f"{size}-{kind}-{moment_s}"
            self.add_caller(
                name, [f"{name}-1"],
                [(0.0, get(f"{name}-1", size)), (moment_s, payload),
                 (0.4, bytes(3000))], read_after_s=0.6)
        self.check_answers(min_answers=2)

    # Guards against requests that get no answer because the next one on their
    # connection stalls.
    def test_stalled_request_behind_an_unanswered_one(self):
        self.start(header_timeout_s=1)
        for size, work_ms in itertools.product(ANSWER_BYTES, (0, 1500, 3000)):
            for kind, payload in whole_requests(f"{size}-{work_ms}-2").items():
                name = f"{size}-{work_ms}-{kind}"
                self.add_caller(name, [f"{name}-1"],
                                [(0.0, get(f"{name}-1", size, work_ms)),
                                 (0.1, payload[:-2])])
        self.check_answers(min_answers=2)

    # Guards against answers that are cut because reading them takes longer
    # than a connection may be idle, and another request arrives then.
    def test_answers_that_take_longer_than_the_idle_timeout(self):
        self.start(idle_timeout_s=1)
        for size, moment_s in itertools.product(
                (2_000_000, 4_000_000), (1.35, 1.45)):
            name = f"{size}-{moment_s}"
            self.add_caller(name, [f"{name}-1"],
                            [(0.0, get(f"{name}-1", size)),
                             (moment_s, get(f"{name}-2", 100))])
        self.check_answers()

    # Guards against answers that are cut because the caller has closed its
    # side after the last request.
    def test_caller_that_closes_its_side_while_it_reads(self):
        self.start()
        for size, moment_s in itertools.product(
                (2_000_000, 8_000_000), (0.3, 0.6)):
            name = f"{size}-{moment_s}"
            self.add_caller(name, [f"{name}-1"],
                            [(0.0, get(f"{name}-1", size)), (moment_s, b"")],
                            half_closes=True)
        self.check_answers()

    # Guards against a process that a further signal ends before it has stopped.
    def test_signals_until_the_process_is_gone(self):
        self.start()
        for stop_signal in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.daemon.terminate()
            while self.daemon.running():
                self.daemon.send_signal(stop_signal)
                time.sleep(0.0002)
            with self.subTest(signal=stop_signal):
                self.assertEqual(self.daemon.wait(), 0)
            self.daemon.start()

    # Guards against answers of the listeners for probes, metrics and other
    # instances that are cut because the client has sent more.
    def test_other_listeners(self):
        self.start()
        request = b"GET /metrics HTTP/1.1\r\nHost: a.example\r\n"
        # The responses are small, so that only many fill the buffers.
        count = 300
        callers = []
        for listener, behind, moment_s in itertools.product(
                ("ready", "metrics", "instances"),
                (request + b"\r\n", b"no request\r\n\r\n", bytes(100)),
                (0.0, 0.1, 0.3)):
            for fields in (b"Connection: close\r\n", b""):
                caller = SlowCaller(
                    self.daemon.listeners[listener],
                    [(0.0, (request + b"\r\n") * (count - 1) + request +
                      fields + b"\r\n"), (moment_s, behind)],
                    read_after_s=0.5, end_s=4.0,
                    receive_buffer_bytes=16 << 10)
                callers.append((listener, behind[:10], moment_s, fields,
                                caller))
                caller.start()
        for *name, caller in callers:
            caller.join()
            with self.subTest(caller=name, ended=caller.ended):
                self.assertGreaterEqual(caller.complete_answers(), count)
                self.assertEqual(caller.complete_answers(),
                                 len(caller.answers))


if __name__ == "__main__":
    unittest.main()
