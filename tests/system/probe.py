"""Measures how long a key is not served after the loss of a process."""
import http.client
import threading
import time

from processes import request, wait_until

INTERVAL_S = 0.02


def seconds_until_served(daemon, target, since, timeout_s=15.0):
    """Returns the time from `since` (time.monotonic()) to the first response.

    Probes start every 20 ms on separate connections and run concurrently,
    because an instance queues requests while their shard moves.
    """
    answered = []

    def probe():
        try:
            status, headers, _ = request(
                daemon.caller, "GET", f"{target}?tag=probe", timeout_s=5.0)
        except (OSError, http.client.HTTPException):
            return
        if status == 200 and headers["Pollenrudder-Outcome"] == "answered":
            answered.append(time.monotonic())

    end = time.monotonic() + timeout_s
    while not answered and time.monotonic() < end:
        threading.Thread(target=probe, daemon=True).start()
        time.sleep(INTERVAL_S)
    if not answered:
        raise AssertionError(f"{target} not served within {timeout_s} s")
    return min(answered) - since


def measure_upstream_loss(deployment, key, action):
    """Applies `action` to the owner of the key and measures the time until the
    key is served again; returns (owner, seconds)."""
    owner = deployment.upstreams[deployment.owner(key)]
    daemon = deployment.live_daemons()[0]
    action(owner)
    return owner, seconds_until_served(
        daemon, f"/geodata/{key}", time.monotonic())


def measure_leader_loss(deployment, key, action):
    """Applies `action` to the leader of the key's owner and measures the time
    until another daemon serves the key; returns (leader, seconds)."""
    leader = wait_until(lambda: deployment.leader(deployment.owner(key)),
                        "a leader")
    other = next(d for d in deployment.live_daemons() if d is not leader)
    action(leader)
    return leader, seconds_until_served(
        other, f"/geodata/{key}", time.monotonic())
