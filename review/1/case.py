"""The leader is cut off from the store while a target restarts: two holders.

Two routers, each with its own path to the store, and a service divided by key
with nine targets, of which four are restarted one after the other: a target
drains, ends, and starts again under its id and address, holding and knowing
nothing.
With TROUBLE, the router that grants the keys is partitioned from the store for
5.5 s during the last of these restarts, and the other one takes over.
"""
import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import deployment as d  # noqa: E402

# `core_cut` of the site file: one machine, "leader", for 5.5 s.
CUT_S = 5.5
# As many targets as the site's `geodata` has; `release` has a share of 0.45.
TARGETS = 9
RESTARTED = 4
# The target drains this long after the cut begins, serves for drain-timeout-s
# (2 s), ends, and is back after RESTART_S.
DRAIN_AFTER_S = 0.6
DRAIN_S = 2.05
RESTART_S = 0.2


class Store(d.Store):
    """Deals the partitions anew, and tells when a leader renews its term."""

    term_appended = None

    def join(self, call):
        answer = super().join(call)
        # The first member gets what the second had, once there are two.
        names = list(self.members)
        if len(names) == 2:
            rows = [[topic, part, 0] for topic in call["topics"]
                    for part in range(12)]
            offset = 1 - names.index(call["member-id"])
            answer["parts"] = [row for index, row in enumerate(rows)
                               if index % 2 == offset]
        return answer

    def append(self, query, records, body, reply):
        first = len(records)
        answer = super().append(query, records, body, reply)
        for key, value in records[first:]:
            if key == b"term" and self.term_appended is not None:
                self.term_appended(json.loads(value))
        return answer


class Owner(d.Target):
    """Checks the rules on holders whenever it takes a key or begins to run."""

    up = True
    peers = ()
    broken = []

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.forget()

    def forget(self):
        self.fences = [-1] * d.KEY_COUNT
        self.held_until = [0.0] * d.KEY_COUNT
        # Since when it holds each key, the token with which it took it last,
        # and when it last began a request on it.
        self.since = [0.0] * d.KEY_COUNT
        self.taken = [-1] * d.KEY_COUNT
        self.begun = [0.0] * d.KEY_COUNT

    def others(self):
        return [t for t in self.peers if t is not self and t.up]

    def grant(self, call):
        first, last, fence = call["from"], call["target"] + 1, call["fence"]
        now = time.monotonic()
        was_held = [until > now for until in self.held_until[first:last]]
        answer = super().grant(call)
        if not answer.startswith(b"HTTP/1.1 200"):
            self.record.line("target-rejects-grant", target=self.name,
                             call=json.dumps(call))
            return answer
        self.record.line("target-holds", target=self.name, born=self.born,
                         call=json.dumps(call))
        for index, held in enumerate(was_held):
            if not held:
                self.since[first + index] = now
        highest = max((max(t.taken[first:last]) for t in self.others()),
                      default=-1)
        if highest >= fence:
            self.report(f"{self.name} takes keys {first} to {last - 1} with "
                        f"token {fence}, others had them with {highest}")
        self.taken[first:last] = [fence] * (last - first)
        return answer

    async def release(self, call):
        self.record.line("target-releases", target=self.name,
                         call=json.dumps(call))
        return await super().release(call)

    async def answer(self, connection, method, path, headers, body):
        key = int(headers["x-pollenrudder-shard-key"])
        now = time.monotonic()
        if self.held_until[key] > now:
            self.begun[key] = now
            for other in self.others():
                both_since = max(self.since[key], other.since[key])
                if (other.held_until[key] > now and
                        other.begun[key] >= both_since):
                    self.report(f"{self.name} and {other.name} hold key {key} "
                                "at the same time and both begin requests")
        await super().answer(connection, method, path, headers, body)

    def report(self, text):
        self.record.line("two-holders", text=text)
        self.broken.append(f"OWNER {text}")

    async def restart(self):
        """Drains, ends and starts again under the same id and address."""
        self.record.line("target-drains", target=self.name)
        self.state = "draining"
        self.beat_task.cancel()
        self.beat_task = asyncio.ensure_future(self.beat())
        await asyncio.sleep(DRAIN_S)
        self.record.line("target-ends", target=self.name)
        self.up = False
        self.beat_task.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.forget()
        self.running.clear()
        self.present = 0
        self.free = asyncio.Semaphore(self.slots)
        await asyncio.sleep(RESTART_S)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.up = True
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 22)
        self.record.line("target-starts", target=self.name, born=self.born)
        self.beat_task = asyncio.ensure_future(self.beat())


async def play(record, folder, trouble):
    store = Store()
    fronts = [d.StoreFront(store), d.StoreFront(store)]
    for front in fronts:
        await front.start()
    store.put("keyed.op", "config", d.configuration(
        3, d.route("lodge", "a.example", "unsafe", "geodata", 1.5, 0.5),
        d.service("geodata", sharded=True)))
    targets = [Owner(f"i-{index}", "geodata", store, record, sharded=True)
               for index in range(TARGETS)]
    for target in targets:
        target.peers = targets
        await target.start()
    routers = [d.Router(f"front-{index}", fronts[index], folder, record)
               for index in range(2)]
    tasks = []
    restarted = None

    async def use(router, number):
        client = None
        index = 0
        while True:
            index += 1
            request_id = f"{router.name}-{number}-{index}"
            try:
                if client is None:
                    client = await d.Client.connect(router.frontend)
                record.line("client-sends", id=request_id)
                status, _, _ = await client.request(
                    "POST", "/lodge/2f",
                    {"Host": "a.example",
                     "X-Pollenrudder-Request-Id": request_id,
                     "X-Pollenrudder-Request-Deadline": 3000,
                     "X-Pollenrudder-Shard-Key": index % 64 * 1024},
                    b"a design")
                record.line("client-gets", id=request_id, status=status)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                record.line("client-gets-nothing", id=request_id,
                            reason=type(error).__name__)
                if client is not None:
                    client.close()
                client = None
            await asyncio.sleep(0.01)

    try:
        await routers[0].start()
        await routers[0].wait_ready()
        await asyncio.sleep(3)
        await routers[1].start()
        await routers[1].wait_ready()
        # The second router is preferred from now on; the first stays leader.
        await asyncio.sleep(4)
        tasks += [asyncio.ensure_future(use(router, number))
                  for router in routers for number in range(3)]
        await asyncio.sleep(1.5)
        for target in targets[RESTARTED - 1:0:-1]:
            await target.restart()
            await asyncio.sleep(1.5)
        renewed = asyncio.get_running_loop().create_future()

        def on_term(term):
            record.line("term", instance=term["instance"],
                        resigned=term["resigned"])
            if not renewed.done():
                renewed.set_result(term["instance"])

        store.term_appended = on_term
        leader = await asyncio.wait_for(renewed, 10)
        if leader != routers[0].name:
            raise d.CannotRun(f"the leader is {leader}")
        await asyncio.sleep(0.05)
        if trouble:
            record.line("cut-begins", router=leader)
            fronts[0].cut = True
        await asyncio.sleep(DRAIN_AFTER_S)
        restarted = asyncio.ensure_future(targets[0].restart())
        await asyncio.sleep(CUT_S - DRAIN_AFTER_S)
        fronts[0].cut = False
        record.line("cut-ends", router=leader)
        await asyncio.sleep(8)
    finally:
        await d.end_tasks(tasks)
        if restarted is not None:
            await asyncio.gather(restarted, return_exceptions=True)
        for router in routers:
            await router.stop()
        for server in [*targets, *fronts]:
            await server.stop()
    both = [text for text in Owner.broken if "both begin" in text]
    tokens = [text for text in Owner.broken if "both begin" not in text]
    print(f"{len(both)} requests begun by one of two holders while the other "
          f"one ran some on the same key, {len(tokens)} grants with an old token")
    return both[:2] + tokens[:2]


d.run_case(__file__, play)
