"""Answers on connections that a daemon with a document ends.

As test_ended_connections.py, for the listeners of document mode.
"""
import itertools
import time
import unittest

from deployment import Deployment
from slow_caller import SlowCaller

ZONE = "falkirk-a"
ANSWER_BYTES = (60_000, 540_000, 2_000_000)
WORK_MS = 300

SECTION = """
team: test-team
services:
  - name: crewdesk
    path_prefix: /crewdesk/
    deadline: 10s
    isolation_hold: 4s
    slots: 200
    connections: 400
    max_body: 1MiB
"""


def get(answer_bytes, fields="", target="/crewdesk/"):
    return (f"GET {target}?pad={answer_bytes} HTTP/1.1\r\nHost: a.example\r\n"
            f"{fields}\r\n").encode()


def bytes_behind():
    """Returns what a caller may send behind a request, by name."""
    return {"get": get(0),
            "chunked": (b"POST /crewdesk/ HTTP/1.1\r\nHost: a.example\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n"
                        b"3\r\nabc\r\n0\r\n\r\n"),
            "part": get(0)[:-1],
            "more": get(0) * 3000}


class DocumentEndedConnectionsTest(unittest.TestCase):
    def start(self):
        deployment = Deployment(
            zones={ZONE: "central-belt"}, daemons_per_zone=0,
            upstreams_per_service=1, services=("crewdesk",),
            sections=[SECTION],
            upstream_settings={"service_ms": WORK_MS, "slots": 200})
        self.addCleanup(deployment.close)
        self.daemon = deployment.start_daemon(f"{ZONE}-1", ZONE)
        deployment.wait_until_served(("/crewdesk/",))
        self.callers = []

    def add_caller(self, name, requests, **options):
        caller = SlowCaller(self.daemon.caller, requests, **options)
        self.callers.append((name, caller))
        caller.start()

    def check_answers(self):
        for name, caller in self.callers:
            caller.join()
            with self.subTest(caller=name, ended=caller.ended):
                self.assertGreaterEqual(caller.complete_answers(), 1)
                self.assertEqual(caller.answers[0].status, 200)
                self.assertEqual(caller.complete_answers(),
                                 len(caller.answers))

    # Guards against answers that are cut because the caller, which wants the
    # connection to end, has sent bytes behind its request.
    def test_bytes_behind_the_last_request(self):
        self.start()
        for size, moment_s in itertools.product(ANSWER_BYTES, (0.0, 0.2, 0.6)):
            for kind, payload in bytes_behind().items():
                self.add_caller(
                    f"{size}-{moment_s}-{kind}",
                    [(0.0, get(size, "Connection: close\r\n")),
                     (moment_s, payload)], read_after_s=0.8)
        self.check_answers()

    # Guards against answers that a planned stop cuts because the caller has
    # sent another request or a part of one.
    def test_planned_stop_with_bytes_behind_a_request(self):
        self.start()
        stop_s = 0.2
        for size, moment_s in itertools.product(ANSWER_BYTES, (0.1, 0.6, 2.5)):
            for kind, payload in bytes_behind().items():
                self.add_caller(
                    f"{size}-{moment_s}-{kind}",
                    [(0.0, get(size)), (stop_s + moment_s, payload)],
                    read_after_s=stop_s + moment_s + 0.3)
        time.sleep(stop_s)
        self.daemon.terminate()
        self.check_answers()

    # Guards against answers that are cut because a request behind them is
    # refused and more of it arrives.
    def test_refused_request_behind_an_answer(self):
        self.start()
        refused = {"malformed": b"no request\r\n\r\n",
                   "header": b"GET / HTTP/1.1\r\nX: " + b"x" * 40_000}
        for size, (kind, payload) in itertools.product(
                ANSWER_BYTES, refused.items()):
            self.add_caller(f"{size}-{kind}",
                            [(0.0, get(size)), (0.1, payload),
                             (0.6, bytes(3000))], read_after_s=0.8)
        self.check_answers()

    # Guards against answers of the listener for operators that are cut because
    # the client has sent more.
    def test_admin_listener(self):
        self.start()
        fields = "Connection: close\r\n"
        for behind, moment_s in itertools.product(
                (get(0, target="/metrics"), b"no request\r\n\r\n"),
                (0.0, 0.1, 0.3)):
            caller = SlowCaller(
                self.daemon.admin,
                [(0.0, get(0, fields, "/metrics")), (moment_s, behind)],
                read_after_s=0.5, end_s=3.0, receive_buffer_bytes=16 << 10)
            self.callers.append((f"{behind[:10]}-{moment_s}", caller))
            caller.start()
        self.check_answers()


if __name__ == "__main__":
    unittest.main()
