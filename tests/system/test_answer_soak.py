"""Random callers behind slow links, beside planned stops, restarts, signals and
new configurations.

Each seed is one run. Callers pipeline requests and use their connections until
these end or the process is gone. The test checks that every request that an
upstream has run is answered completely on its connection.

POLLENRUDDER_SOAK_SEEDS, for example "1-50", selects the seeds,
POLLENRUDDER_SOAK_INSTANCES the number of instances, and POLLENRUDDER_SOAK_CALLERS
that of the callers of each.
"""
import concurrent.futures
import os
import random
import signal
import sys
import tempfile
import threading
import time
import unittest

from platform_processes import PlatformDaemon
from slow_caller import SlowCaller

DEFAULT_SEEDS = "1-2"
DEFAULT_INSTANCES = "2"
DEFAULT_CALLERS = "12"
STOPS = 2
MEMORY_MB = 2048
MAX_BODY_BYTES = 1 << 20
# An answer and the one behind it are read in half of the time that remains when
# an instance stops reading requests.
MAX_ANSWER_BYTES = 1_000_000
MAX_WORK_MS = 800
MAX_REQUESTS = 5
FRAMINGS = ("length", "chunked", "close")


class Caller(threading.Thread):
    """Opens a connection after the other until stop()."""

    def __init__(self, instance, rng, name):
        super().__init__(daemon=True)
        self._instance = instance
        self._rng = rng
        self._name = name
        self._connections = 0
        self._stopped = threading.Event()
        # Descriptions of connections on which an answer was cut.
        self.cut = []
        self.answered = 0

    def stop(self):
        self._stopped.set()

    def run(self):
        while not self._stopped.is_set():
            try:
                self._use_connection()
            except OSError:
                time.sleep(0.05)  # The process restarts.

    def _use_connection(self):
        self._connections += 1
        ids = [f"{self._name}-{self._connections}-{number}"
               for number in range(self._rng.randint(1, MAX_REQUESTS))]
        schedule = []
        at = 0.0
        for request_id in ids:
            schedule.append((at, self._request(request_id)))
            at += self._rng.choice((0.0, 0.1, 0.5, 1.0))
        if self._rng.random() < 0.3:
            # A part of a request that is never completed.
            schedule.append((at, self._request("never")[:-2]))
        caller = SlowCaller(
            self._instance.daemon.caller, schedule,
            read_after_s=self._rng.choice((0.0, 0.0, 0.3, 0.8)),
            end_s=at + 15.0, max_unanswered=2, answers=len(ids))
        caller.run()
        run = [name for name in ids if self._instance.daemon.has_run(name)]
        self.answered += caller.complete_answers()
        if len(run) > caller.complete_answers():
            self.cut.append((run, caller.ended, [
                (answer.status, answer.received, answer.length)
                for answer in caller.answers]))

    def _request(self, request_id):
        fields = ("Connection: close\r\n" if self._rng.random() < 0.1 else "")
        size = self._rng.choice((0, 9_000, self._rng.randint(
            0, MAX_ANSWER_BYTES)))
        target = (f"{self._instance.daemon.prefix}?bytes={size}"
                  f"&work-ms={self._rng.randint(0, MAX_WORK_MS)}"
                  f"&framing={self._rng.choice(FRAMINGS)}")
        head = (f"{{}} {target} HTTP/1.1\r\nHost: a.example\r\n"
                f"X-Pollenrudder-Request-Id: {request_id}\r\n{fields}")
        if self._rng.random() < 0.7:
            return (head.format("GET") + "\r\n").encode()
        body = bytes(self._rng.choice((10, 3_000, 40_000)))
        return (head.format("POST") +
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Instance:
    """A daemon and its callers."""

    def __init__(self, test, folder, rng, name):
        self._test = test
        self._rng = rng
        self.daemon = PlatformDaemon(folder, MEMORY_MB, MAX_BODY_BYTES,
                                     slots=1000)
        test.addCleanup(self.daemon.stop)
        count = int(os.environ.get("POLLENRUDDER_SOAK_CALLERS",
                                   DEFAULT_CALLERS))
        self.callers = [
            Caller(self, random.Random(rng.random()), f"{name}-{number}")
            for number in range(count)]
        for caller in self.callers:
            caller.start()

    def run(self):
        """Changes and signals in series, which overlap with a planned stop."""
        for _ in range(STOPS):
            for _ in range(self._rng.randint(0, 3)):
                self._disturb()
            self.daemon.terminate()
            while self.daemon.running():
                if self._rng.random() < 0.2:
                    self._disturb()
                if self._rng.random() < 0.05:
                    self.daemon.terminate()
                time.sleep(0.1)
            self._test.assertEqual(self.daemon.wait(), 0)
            self.daemon.start()
        time.sleep(self._rng.uniform(0.0, 1.0))

    def _disturb(self):
        if self._rng.random() < 0.5:
            self.daemon.move_route()
        elif self.daemon.running():
            self.daemon.send_signal(signal.SIGHUP)
        time.sleep(self._rng.uniform(0.0, 0.7))

    def end_callers(self):
        for caller in self.callers:
            caller.stop()
        for caller in self.callers:
            caller.join()


class AnswerSoakTest(unittest.TestCase):
    def run_seed(self, seed):
        rng = random.Random(seed)
        instances = []
        for number in range(int(os.environ.get("POLLENRUDDER_SOAK_INSTANCES",
                                               DEFAULT_INSTANCES))):
            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            instances.append(Instance(self, folder.name,
                                      random.Random(rng.random()), number))
        with concurrent.futures.ThreadPoolExecutor(len(instances)) as pool:
            for _ in pool.map(Instance.run, instances):
                pass
        for instance in instances:
            instance.end_callers()
        callers = [caller for instance in instances
                   for caller in instance.callers]
        answered = sum(caller.answered for caller in callers)
        if os.environ.get("POLLENRUDDER_PRINT_PEAKS"):
            print(f"seed {seed}: {answered} answers", file=sys.stderr)
        self.assertGreater(answered, len(callers))
        self.assertEqual([], [cut for caller in callers for cut in caller.cut])

    def test_seeds(self):
        first, last = os.environ.get(
            "POLLENRUDDER_SOAK_SEEDS", DEFAULT_SEEDS).split("-")
        for seed in range(int(first), int(last) + 1):
            with self.subTest(seed=seed):
                self.run_seed(seed)
                self.doCleanups()


if __name__ == "__main__":
    unittest.main()
