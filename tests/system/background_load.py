"""A steady load that checks every answer against the executions."""
import collections
import http.client
import json
import random
import threading
import time
import urllib.parse

Sent = collections.namedtuple(
    "Sent", "tag kind request_id started ended status outcome error problem")

PAD = 300
KEYS = 200


class BackgroundLoad:
    """Threads that send requests at a fixed rate through given daemons.

    Kinds: geodata reads (by key), crewdesk reads, and crewdesk bookings, which
    get an id first and are repeated with it until their outcome is known.
    """

    def __init__(self, deployment, daemons=None, threads=6, rate=120, seed=1):
        self.deployment = deployment
        self.daemons = daemons or list(deployment.daemons.values())
        self.sent = []
        self._stop = threading.Event()
        self._interval_s = threads / rate
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed + n), n))
            for n in range(threads)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            if thread.is_alive():
                thread.join()

    def _run(self, rng, number):
        connections = {}
        try:
            self._send_until_stopped(connections, rng, number)
        finally:
            for connection in connections.values():
                connection.close()

    def _send_until_stopped(self, connections, rng, number):
        count = 0
        due = time.monotonic()
        while not self._stop.is_set():
            due += self._interval_s
            time.sleep(max(0.0, due - time.monotonic()))
            daemon = rng.choice(self.daemons)
            count += 1
            tag = f"t{number}-{count}"
            kind = rng.choice(("key", "key", "key", "read", "booking"))
            if kind == "key":
                self._send(connections, daemon, tag, kind, "GET",
                           f"/geodata/key-{rng.randrange(KEYS)}")
            elif kind == "read":
                self._send(connections, daemon, tag, kind, "GET", "/crewdesk/")
            else:
                self._book(connections, daemon, tag)

    def _book(self, connections, daemon, tag):
        issued = self._send(
            connections, daemon, tag + "-id", "id", "POST",
            "/pollenrudder/request-ids?service=crewdesk")
        if not issued.request_id:
            return
        # A caller repeats the same id until it knows.
        for _ in range(20):
            sent = self._send(connections, daemon, tag, "booking", "POST",
                              "/crewdesk/", issued.request_id)
            if sent.outcome == "answered" or sent.error in (
                    "unknown_request_id_expired", "invalid_request_id"):
                return
            if self._stop.wait(0.2):
                return

    def _send(self, connections, daemon, tag, kind, method, target,
              request_id=""):
        separator = "&" if "?" in target else "?"
        target += separator + urllib.parse.urlencode({"tag": tag, "pad": PAD})
        headers = {"Pollenrudder-Request-Id": request_id} if request_id else {}
        started = time.monotonic()
        status, outcome, error, problem = 0, "none", "", ""
        try:
            if daemon not in connections:
                host, port = daemon.caller.rsplit(":", 1)
                connections[daemon] = http.client.HTTPConnection(
                    host, int(port), timeout=10)
            body = tag if method == "POST" and kind != "id" else None
            connections[daemon].request(method, target, body, headers)
            answer = connections[daemon].getresponse()
            text = answer.read()
            status = answer.status
            outcome = answer.getheader("Pollenrudder-Outcome", "missing")
            error = answer.getheader("Pollenrudder-Error", "")
            if kind == "id":
                request_id = answer.getheader("Pollenrudder-Request-Id", "")
            elif outcome == "answered":
                problem = self._check_body(status, text, tag)
        except (OSError, http.client.HTTPException) as failure:
            # The caller's connection broke, as when its daemon is killed.
            error = type(failure).__name__
            connections.pop(daemon).close()
        sent = Sent(tag, kind, request_id, started, time.monotonic(), status,
                    outcome, error, problem)
        self.sent.append(sent)
        return sent

    @staticmethod
    def _check_body(status, text, tag):
        try:
            body = json.loads(text)
        except ValueError:
            return f"not JSON: {text[:200]!r}"
        if status != 200 or body["tag"] != tag:
            return f"another request's answer: {body}"
        if len(body["pad"]) != PAD:
            return "a cut-off answer"
        return ""

    # The checks after the load has stopped.
    def check(self, test, min_answered=1):
        """Fails the test if any guarantee was broken."""
        executions = self.deployment.executions()
        by_tag = collections.Counter(e[1] for e in executions)
        by_id = collections.Counter(e[2] for e in executions if e[2])
        asked = [s for s in self.sent if s.kind != "id"]
        ran_by_answer = {s.tag for s in asked if s.outcome == "answered"}
        wrong = [s for s in asked if s.problem or s.outcome == "missing"]
        test.assertEqual([], wrong[:5], "wrong answers")
        test.assertEqual(
            [], [t for t in ran_by_answer if by_tag[t] == 0][:5],
            "answered, but no upstream ran it")
        outcomes = collections.defaultdict(set)
        for sent in asked:
            outcomes[sent.tag].add(sent.outcome)
        test.assertEqual(
            [], [(t, by_tag[t]) for t, found in outcomes.items()
                 if found == {"not-run"} and by_tag[t] > 0][:5],
            "refused as not run, but an upstream ran it")
        test.assertEqual(
            [], [(i, n) for i, n in by_id.items() if n > 1][:5],
            "a request with one id ran more than once")
        self.check_owners(test, executions)
        answered = sum(s.outcome == "answered" for s in asked)
        test.assertGreaterEqual(answered, min_answered, self.summary())

    @staticmethod
    def check_owners(test, executions, slack_ms=2):
        """No shard runs at two upstreams under one epoch, nor under an epoch
        after a newer one has begun."""
        first_run = {}
        newest = {}
        faults = []
        for name, tag, _, shard, fence, start in sorted(
                executions, key=lambda e: e[5]):
            if not name.startswith("geodata"):
                continue
            owner = first_run.setdefault((shard, fence), name)
            if owner != name:
                faults.append((tag, shard, fence, owner, name))
            last_fence, since = newest.get(shard, (0, 0))
            if fence > last_fence:
                newest[shard] = (fence, start)
            elif fence < last_fence and start > since + slack_ms:
                faults.append((tag, shard, fence, last_fence, start - since))
        test.assertEqual([], faults[:5], "two owners of a shard")

    def refused(self, after=0.0, before=float("inf")):
        """Requests that started in a time span and got no answer."""
        return [s for s in self.sent if s.kind != "id"
                and after <= s.started < before and s.outcome != "answered"]

    def longest_gap(self, select=lambda sent: True):
        """The longest time from a request that failed to the next that was
        answered."""
        gap, since = 0.0, None
        for sent in sorted(self.sent, key=lambda s: s.started):
            if sent.kind == "id" or not select(sent):
                continue
            if sent.outcome == "answered":
                if since is not None:
                    gap = max(gap, sent.started - since)
                    since = None
            elif since is None:
                since = sent.started
        if since is not None:
            gap = max(gap, time.monotonic() - since)
        return gap

    def summary(self):
        return dict(collections.Counter(
            (s.kind, s.outcome, s.error) for s in self.sent))
