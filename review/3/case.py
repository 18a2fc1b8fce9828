"""An answer with an empty hop-by-hop field: the router never runs again.

Two routers, a service with six targets, clients on kept connections. With
TROUBLE, one target is faulty for five seconds: one of its answers has a field
without a value that its Connection field names. With VARIANT=client, a client
sends such fields in one request instead, and all targets are sound.
"""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import deployment as d  # noqa: E402

# The dose of `garble` in the site file is 2 in 100 answers of 35 in 100
# targets for 5.5 s. Here two of six targets are faulty and spoil one answer
# together, after GOOD_ANSWERS good ones of the same target.
GOOD_ANSWERS = 50
TROUBLE_S = 5.5
CLIENTS = 4
# RULES.md, CONFIG: of the requests that are unanswered at their route's
# timeout-s, more than half have no answer half a second later.
TIMEOUT_S = 2.0
SLACK_S = 0.5
WATCH_S = 15.0
GRACE_PERIOD_S = 6.0
FIELDS = [("Connection", "X-Trace"), ("X-Trace", "")]


class Faulty(d.Target):
    """Spoils one answer once it is told to."""

    spoil_after = None
    spoiled = False

    def answer_headers(self, request_id):
        headers = super().answer_headers(request_id)
        if (self.spoil_after is not None and not Faulty.spoiled and
                self.answers >= self.spoil_after):
            Faulty.spoiled = True
            self.record.line("target-spoils-answer", target=self.name,
                             id=request_id)
            headers += FIELDS
        return headers


def processor_time(router):
    with open(f"/proc/{router.process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def play(record, folder, trouble):
    store = d.Store()
    await store.start()
    store.put("keyed.op", "config", d.configuration(
        3, d.route("history", "history.example", "safe", "archive", TIMEOUT_S, 1.0),
        d.service("archive")))
    targets = [Faulty(f"i-{index}", "archive", store, record)
               for index in range(6)]
    for target in targets:
        await target.start()
    routers = [d.Router(f"front-{index}", store, folder, record)
               for index in range(2)]
    counts = {router.name: {"sent": 0, "answered": 0, "overdue": 0,
                            "unanswered": 0} for router in routers}
    from_client = os.environ.get("VARIANT") == "client"
    next_fields = {}
    broken = []
    tasks = []

    async def use(router, number):
        client = None
        index = 0
        while True:
            index += 1
            request_id = f"{router.name}-{number}-{index}"
            headers = {"Host": "history.example",
                       "X-Pollenrudder-Request-Id": request_id,
                       "X-Pollenrudder-Request-Deadline": 4000}
            headers.update(next_fields)
            next_fields.clear()
            try:
                if client is None:
                    client = await asyncio.wait_for(
                        d.Client.connect(router.frontend), 1)
                counts[router.name]["sent"] += 1
                record.line("client-sends", id=request_id)
                answer = asyncio.ensure_future(client.request(
                    "GET", "/history/2f", headers, timeout_s=4))
                done, _ = await asyncio.wait([answer], timeout=TIMEOUT_S)
                if not done:
                    counts[router.name]["overdue"] += 1
                    done, _ = await asyncio.wait([answer], timeout=SLACK_S)
                    if not done:
                        counts[router.name]["unanswered"] += 1
                        record.line("client-has-no-answer", id=request_id)
                status, _, _ = await answer
                counts[router.name]["answered"] += 1
                record.line("client-gets", id=request_id, status=status)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                record.line("client-gets-nothing", id=request_id,
                            reason=type(error).__name__)
                if client is not None:
                    client.close()
                client = None
            await asyncio.sleep(0.02)

    async def probe(router, misses):
        while True:
            good = await router.is_ready()
            misses.append(0 if good else 1)
            record.line("platform-probes", router=router.name, good=good)
            await asyncio.sleep(1)

    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        await asyncio.sleep(2)
        misses = {router.name: [] for router in routers}
        for router in routers:
            tasks.append(asyncio.ensure_future(
                probe(router, misses[router.name])))
            tasks += [asyncio.ensure_future(use(router, number))
                      for number in range(CLIENTS)]
        await asyncio.sleep(3)
        if not all(c["answered"] > 20 for c in counts.values()):
            raise d.CannotRun("requests are not served before the trouble")
        if trouble and from_client:
            record.line("client-fields", fields=FIELDS)
            next_fields.update(FIELDS)
        elif trouble:
            record.line("trouble-begins", kind="garble")
            for target in targets[:2]:
                target.spoil_after = target.answers + GOOD_ANSWERS
        await asyncio.sleep(TROUBLE_S)
        if trouble and not from_client and not Faulty.spoiled:
            raise d.CannotRun("the faulty targets got too few requests")
        before = {name: dict(count) for name, count in counts.items()}
        used = {r.name: processor_time(r) for r in routers}
        watched = {name: len(seen) for name, seen in misses.items()}
        await asyncio.sleep(WATCH_S)
        for router in routers:
            name = router.name
            answered = counts[name]["answered"] - before[name]["answered"]
            seen = misses[name][watched[name]:]
            cpu = processor_time(router) - used[name]
            record.line("watched", router=name, answered=answered,
                        probes=len(seen), missed=sum(seen),
                        processor_s=round(cpu, 1))
            print(f"{name}: {answered} answers, {sum(seen)} of {len(seen)} "
                  f"probes missed, {cpu:.1f} s of processor time in "
                  f"{WATCH_S:.0f} s")
            overdue = counts[name]["overdue"]
            unanswered = counts[name]["unanswered"]
            if overdue >= 8 and 2 * unanswered > overdue:
                broken.append(f"CONFIG {unanswered} of {overdue} requests that "
                              f"{name} had not answered at timeout-s have no "
                              f"answer {SLACK_S} s later")
            if answered == 0 and seen and sum(seen) == len(seen):
                broken.append(f"Fault {name} answers no request and no probe "
                              f"for {WATCH_S:.0f} s, and uses {cpu:.1f} s of "
                              "processor time")
        await d.end_tasks(tasks)
        for router in routers:
            router.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_PERIOD_S)
        for router in routers:
            if not router.ended():
                broken.append(f"Fault {router.name} has not ended "
                              f"{GRACE_PERIOD_S:.0f} s after SIGTERM")
    finally:
        await d.end_tasks(tasks)
        for router in routers:
            await router.stop()
        for target in targets:
            await target.stop()
        await store.stop()
    return broken


d.run_case(__file__, play)
