"""Background load that checks responses against the upstreams' journals."""
import collections
import http.client
import json
import random
import threading
import time
import urllib.parse

SentRequest = collections.namedtuple(
    "SentRequest", "tag kind request_id started ended status outcome error problem")

PAD = 300
KEYS = 200


class BackgroundLoad:
    """Sends requests at a fixed rate through the given daemons, on threads.

    Use it as a context manager, and call check() afterwards. Kinds of requests:
    geodata reads (by key), crewdesk reads, and crewdesk bookings. A booking
    gets a request id first and is retried with it until its outcome is known.
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
        # Retries with the same id until the outcome is known.
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
            response = connections[daemon].getresponse()
            text = response.read()
            status = response.status
            outcome = response.getheader("Pollenrudder-Outcome", "missing")
            error = response.getheader("Pollenrudder-Error", "")
            if kind == "id":
                request_id = response.getheader("Pollenrudder-Request-Id", "")
            elif outcome == "answered":
                problem = self._check_body(status, text, tag)
        except (OSError, http.client.HTTPException) as failure:
            # The connection was lost, for example because the daemon was
            # killed.
            error = type(failure).__name__
            connections.pop(daemon).close()
        sent = SentRequest(tag, kind, request_id, started, time.monotonic(),
                           status, outcome, error, problem)
        self.sent.append(sent)
        return sent

    @staticmethod
    def _check_body(status, text, tag):
        try:
            body = json.loads(text)
        except ValueError:
            return f"not JSON: {text[:200]!r}"
        if status != 200 or body["tag"] != tag:
            return f"a response to another request: {body}"
        if len(body["pad"]) != PAD:
            return "a truncated response"
        return ""

    # The functions below are for use after the load has stopped.
    def check(self, test, min_answered=1):
        """Fails the test if a response is invalid, the reported outcome of a
        request differs from its executions, a request id ran twice, a shard had
        two owners, or fewer than min_answered requests were answered."""
        executions = self.deployment.executions()
        by_tag = collections.Counter(e[1] for e in executions)
        by_id = collections.Counter(e[2] for e in executions if e[2])
        requests = [s for s in self.sent if s.kind != "id"]
        answered_tags = {s.tag for s in requests if s.outcome == "answered"}
        wrong = [s for s in requests if s.problem or s.outcome == "missing"]
        test.assertEqual([], wrong[:5], "invalid responses")
        test.assertEqual(
            [], [t for t in answered_tags if by_tag[t] == 0][:5],
            "reported as answered, but no upstream ran it")
        outcomes = collections.defaultdict(set)
        for sent in requests:
            outcomes[sent.tag].add(sent.outcome)
        test.assertEqual(
            [], [(t, by_tag[t]) for t, found in outcomes.items()
                 if found == {"not-run"} and by_tag[t] > 0][:5],
            "reported as not run, but an upstream ran it")
        test.assertEqual(
            [], [(i, n) for i, n in by_id.items() if n > 1][:5],
            "a request id ran more than once")
        self.check_single_owner(test, executions)
        answered = sum(s.outcome == "answered" for s in requests)
        test.assertGreaterEqual(answered, min_answered, self.summary())

    @staticmethod
    def check_single_owner(test, executions, slack_ms=2):
        """Fails the test if a shard ran at two upstreams under one epoch, or
        under an old epoch after the first run of a newer one."""
        owner_by_epoch = {}
        newest = {}
        faults = []
        for name, tag, _, shard, fence, start in sorted(
                executions, key=lambda e: e[5]):
            if not name.startswith("geodata"):
                continue
            owner = owner_by_epoch.setdefault((shard, fence), name)
            if owner != name:
                faults.append((tag, shard, fence, owner, name))
            last_fence, since = newest.get(shard, (0, 0))
            if fence > last_fence:
                newest[shard] = (fence, start)
            elif fence < last_fence and start > since + slack_ms:
                faults.append((tag, shard, fence, last_fence, start - since))
        test.assertEqual([], faults[:5], "a shard had two owners")

    def failed_requests(self, after=0.0, before=float("inf")):
        """Returns requests that started in a time span and were not answered."""
        return [s for s in self.sent if s.kind != "id"
                and after <= s.started < before and s.outcome != "answered"]

    def longest_gap(self, select=lambda sent: True):
        """Returns the longest time from a failed request to the next answered
        one."""
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
