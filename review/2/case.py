"""Late copies of rejections: a request that may run once runs again.

One router, a service divided by key with two targets, and an unsafe route to
it. A client sends one request after the other on a kept connection. Now and
then a target is full for a moment and rejects a request (503, not run), which
the router sends to it again. With TROUBLE, one target is faulty: it also sends
a copy of that rejection late, in front of its next answer.
"""
import asyncio
import collections
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import deployment as d  # noqa: E402

# The dose of `garble` "extra late" in the site file is 3 in 100 answers of 60
# in 100 targets for 5 s. Here one target of two is faulty.
GARBLED_SHARE = 0.03
TROUBLE_S = 5.0
# Each REJECT_EVERY-th request arrives while its target is full.
REJECT_EVERY = 40


class FullAtTimes(d.Target):
    """Rejects each REJECT_EVERY-th request once, because others fill it."""

    seen = 0
    rejected = set()
    trouble_until = 0.0
    copies = 0
    answers_before = 0

    async def answer(self, connection, method, path, headers, body):
        request_id = headers["x-pollenrudder-request-id"]
        late, connection.late = connection.late, b""
        if late:
            # At the point where the next answer is expected.
            self.record.line("target-sends-late-copy", target=self.name,
                             while_handling=request_id)
            await connection.send(late)
        if request_id not in self.rejected:
            FullAtTimes.seen += 1
            if FullAtTimes.seen % REJECT_EVERY == 0:
                self.rejected.add(request_id)
                rejection = self.reject(request_id, 503)
                await connection.send(rejection)
                share = self.copies + 1
                share /= max(1, self.answers - self.answers_before)
                if (time.monotonic() < self.trouble_until and
                        share <= GARBLED_SHARE):
                    self.copies += 1
                    connection.late = rejection
                return
        self.record.line("target-begins", target=self.name, id=request_id)
        RUNS[request_id] += 1
        await super().answer(connection, method, path, headers, body)


RUNS = collections.Counter()


async def play(record, folder, trouble):
    store = d.Store()
    await store.start()
    store.put("keyed.op", "config", d.configuration(
        3, d.route("lodge", "lodge.example", "unsafe", "register", 1.5, 0.5),
        d.service("register", sharded=True)))
    targets = [FullAtTimes(f"i-{index}", "register", store, record,
                           sharded=True) for index in range(2)]
    for target in targets:
        await target.start()
    router = d.Router("front-1", store, folder, record)
    broken = []
    try:
        await router.start()
        await router.wait_ready()
        client = await d.Client.connect(router.frontend)

        async def lodge(index):
            request_id = f"lodge{index:05d}"
            record.line("client-sends", id=request_id)
            status, headers, body = await client.request(
                "POST", "/lodge/2f",
                {"Host": "lodge.example",
                 "X-Pollenrudder-Request-Id": request_id,
                 "X-Pollenrudder-Request-Deadline": 3000,
                 "X-Pollenrudder-Shard-Key": index * 7919 % d.KEY_COUNT},
                b"a design")
            record.line("client-gets", id=request_id, status=status)
            return request_id, status

        # Until the keys are granted.
        index, good = 0, 0
        end = time.monotonic() + 20
        while good < 20:
            index += 1
            _, status = await lodge(index)
            good = good + 1 if status == 200 else 0
            if time.monotonic() > end:
                raise d.CannotRun("the keys are not granted")
        if trouble:
            record.line("trouble-begins", kind="garble", how="extra late")
            targets[0].answers_before = targets[0].answers
            targets[0].trouble_until = time.monotonic() + TROUBLE_S
        answers = {}
        end = time.monotonic() + TROUBLE_S
        while time.monotonic() < end:
            index += 1
            request_id, status = await lodge(index)
            answers[request_id] = status
        # What is still at work at a target.
        await asyncio.sleep(2)
        for request_id, status in answers.items():
            if RUNS[request_id] > 1:
                broken.append(f"TWICE {request_id} ran {RUNS[request_id]} "
                              f"times, answered {status}")
            if status in (408, 421, 429, 503) and RUNS[request_id] > 0:
                broken.append(f"REFUSED {request_id} answered {status}, ran "
                              f"{RUNS[request_id]} times")
        record.line("counted", requests=len(answers),
                    answers=sum(t.answers for t in targets),
                    copies=sum(t.copies for t in targets))
        print(f"{len(answers)} requests, "
              f"{sum(t.copies for t in targets)} late copies")
    finally:
        await router.stop()
        for target in targets:
            await target.stop()
        await store.stop()
    return broken


d.run_case(__file__, play)
