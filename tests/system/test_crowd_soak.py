"""Random crowds at all listeners of several instances, beside signals, planned
stops, restarts and new configurations.

Each seed is one run. The crowds keep using their connections until the process is
gone. The test checks that a process ends only when it was told to, that its
resident memory with the unread bytes of its sockets and its number of sockets stay
under a bound, and that one ordinary request is answered afterwards. It checks no
times.

POLLENRUDDER_SOAK_SEEDS, for example "1-50", selects the seeds,
POLLENRUDDER_SOAK_INSTANCES the number of instances, and POLLENRUDDER_SOAK_CALLERS
that of the callers in the largest crowd.
"""
import itertools
import os
import random
import signal
import sys
import tempfile
import time
import unittest

import processes
from crowd import Crowd, unread_bytes
from platform_processes import PlatformDaemon

DEFAULT_SEEDS = "1-2"
DEFAULT_INSTANCES = "2"
STEPS = 12
MEMORY_MB = 64
MAX_FDS = 600
# Of the descriptors, these are for files.
FILE_FDS = 200
MAX_BODY_BYTES = 1 << 20
DEFAULT_CALLERS = "200"
ORDINARY_BODY = bytes(64 << 10)
# Only a process that hangs needs longer.
ANSWER_TIMEOUT_S = 120.0
HEAD = b"POST / HTTP/1.1\r\nHost: a.example\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def announced(length, sent):
    return [HEAD + b"Content-Length: %d\r\n\r\n" % length + bytes(sent)]


def chunks(chunk_bytes, total):
    chunk = b"%x\r\n" % chunk_bytes + bytes(chunk_bytes) + b"\r\n"
    return itertools.chain([CHUNKED_HEAD],
                           itertools.repeat(chunk, total // chunk_bytes))


# Functions that return what one caller sends.
PAYLOADS = {
    "idle": lambda: [],
    "unfinished head": lambda: [HEAD + b"X-Field: " + b"x" * 15000],
    "short body": lambda: announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1000),
    "whole bodies": lambda: announced(MAX_BODY_BYTES, MAX_BODY_BYTES) * 2,
    "body over the limit": lambda: announced(
        64 * MAX_BODY_BYTES, 2 * MAX_BODY_BYTES),
    "large chunks": lambda: chunks(64 << 10, MAX_BODY_BYTES - (64 << 10)),
    "small chunks": lambda: chunks(16, 64 << 10),
    "chunks over the limit": lambda: chunks(64 << 10, 2 * MAX_BODY_BYTES),
    "requests": lambda: [b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n" * 40],
}


class Instance:
    """A daemon, the crowds at its listeners, and the bounds that it keeps."""

    def __init__(self, test, folder):
        self._test = test
        self._daemon = PlatformDaemon(folder, MEMORY_MB, MAX_BODY_BYTES,
                                      max_fds=MAX_FDS)
        test.addCleanup(self._daemon.stop)
        self._crowds = []
        self.peak = 0

    def observe(self):
        self._test.assertTrue(self._daemon.running(),
                              self._daemon.output()[-2000:])
        self.peak = max(self.peak, self._daemon.resident_bytes() +
                        unread_bytes(*self._daemon.listeners.values()))
        self._test.assertLess(self.peak, MEMORY_MB << 20)
        self._test.assertLess(self._daemon.sockets(), MAX_FDS - FILE_FDS)

    def add_crowd(self, rng):
        listener = rng.choice(["caller", "caller", "caller",
                               *self._daemon.listeners])
        kind = rng.choice(list(PAYLOADS))
        most = int(os.environ.get("POLLENRUDDER_SOAK_CALLERS",
                                  DEFAULT_CALLERS))
        self._crowds.append(Crowd(self._daemon.listeners[listener],
                                  rng.randint(1, most), PAYLOADS[kind]))
        return f"{kind} at {listener}"

    def send(self):
        for crowd in self._crowds:
            crowd.send(self.observe)

    def end_crowd(self, rng):
        if self._crowds:
            self._crowds.pop(rng.randrange(len(self._crowds))).close()

    def end_crowds(self):
        while self._crowds:
            self._crowds.pop().close()

    def freeze(self, rng):
        self._daemon.freeze()
        time.sleep(rng.uniform(0.1, 1.0))
        self.send()
        self._daemon.resume()

    def restart(self, rng):
        """Stops the process while its crowds go on sending."""
        if rng.random() < 0.5:
            self._daemon.kill()
        else:
            self._daemon.terminate()
            if rng.random() < 0.5:
                self._daemon.terminate()
            while self._daemon.running():
                for crowd in self._crowds:
                    crowd.send()
        self._test.assertIn(self._daemon.wait(), (0, -signal.SIGKILL))
        self._daemon.start()

    def move_route(self, _rng):
        self._daemon.move_route()

    def reload(self, _rng):
        self._daemon.send_signal(signal.SIGHUP)

    def check_answers(self):
        def is_answered():
            self.observe()
            return self._daemon.answers(ORDINARY_BODY)

        processes.wait_until(is_answered, "an ordinary request is answered",
                             ANSWER_TIMEOUT_S)


class CrowdSoakTest(unittest.TestCase):
    def run_seed(self, seed):
        rng = random.Random(seed)
        count = int(os.environ.get("POLLENRUDDER_SOAK_INSTANCES",
                                   DEFAULT_INSTANCES))
        instances = []
        for _ in range(count):
            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            instances.append(Instance(self, folder.name))
        steps = []
        try:
            for _ in range(STEPS):
                # Several things at once, so that they overlap.
                for instance in rng.sample(instances, (count + 1) // 2):
                    for _ in range(rng.randint(1, 2)):
                        steps.append(instance.add_crowd(rng))
                    action = rng.choice([
                        Instance.end_crowd, Instance.freeze, Instance.restart,
                        Instance.move_route, Instance.reload])
                    steps.append(action.__name__)
                    action(instance, rng)
                for instance in instances:
                    instance.send()
            for instance in instances:
                instance.end_crowds()
                instance.check_answers()
        except BaseException:
            print(f"seed {seed}: {steps}", file=sys.stderr)
            raise
        finally:
            for instance in instances:
                instance.end_crowds()
        if os.environ.get("POLLENRUDDER_PRINT_PEAKS"):
            peaks = [f"{instance.peak / 2**20:.1f}" for instance in instances]
            print(f"seed {seed}: peaks {' '.join(peaks)} MiB", file=sys.stderr)

    def test_seeds(self):
        first, last = os.environ.get(
            "POLLENRUDDER_SOAK_SEEDS", DEFAULT_SEEDS).split("-")
        for seed in range(int(first), int(last) + 1):
            with self.subTest(seed=seed):
                self.run_seed(seed)
                self.doCleanups()


if __name__ == "__main__":
    unittest.main()
