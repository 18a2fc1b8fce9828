"""Starts a system of platform stand-ins, upstreams and daemons."""
import json
import os
import shutil
import subprocess
import tempfile
import time

from processes import CTL, Daemon, Standin, request, wait_until

# Two regions with two availability zones each, as in both deployments.
ZONES = {"falkirk-a": "central-belt", "stirling-b": "central-belt",
         "inverness-a": "highland", "dingwall-b": "highland"}

# geodata is divided by key; crewdesk is not, and has requests that must not
# run twice. isolation_hold is short, so that a test can wait until it expires.
SECTION = """
team: test-team
services:
  - name: geodata
    path_prefix: /geodata/
    key: {{path_segment: 0}}
    shards: 64
    deadline: 2s
    isolation_hold: {hold}
    slots: 6
    connections: 110
    checks_fence: {checks_fence}
    max_body: 1MiB
  - name: crewdesk
    path_prefix: /crewdesk/
    deadline: 2s
    isolation_hold: {hold}
    slots: 6
    connections: 110
    checks_fence: {checks_fence}
{more}
"""


def section(hold="4s", checks_fence="true", more=""):
    return SECTION.format(hold=hold, checks_fence=checks_fence, more=more)


class Deployment:
    """Starts all processes with their files in a temporary folder; close()
    kills the processes and removes the folder.

    daemons_per_zone and upstreams_per_service are numbers, or dictionaries by
    zone and by service.
    """

    def __init__(self, daemons_per_zone=1, upstreams_per_service=4,
                 zones=None, services=("geodata", "crewdesk"),
                 sections=None, upstream_settings=None, lag_ms=0,
                 links=False):
        self.zones = zones or ZONES
        if not isinstance(daemons_per_zone, dict):
            daemons_per_zone = {zone: daemons_per_zone for zone in self.zones}
        if not isinstance(upstreams_per_service, dict):
            upstreams_per_service = {
                service: upstreams_per_service for service in services}
        self.folder = tempfile.mkdtemp(prefix="pollenrudder-")
        self.processes = []
        # With `links`, control messages to a daemon from other zones go
        # through a link stand-in, which has one link per zone of the sender.
        self.links = {} if links else None
        self.upstreams = {}
        self.daemons = {}
        try:
            self.log = self._add(Standin("log", "log", self.folder, (
                "main", *self.zones)))
            self.instance_list = self._add(Standin(
                "instances", "instances", self.folder, ("main", *self.zones),
                lag_ms=lag_ms))
            for text in sections if sections is not None else [section()]:
                assert self.publish(text).returncode == 0
            zone_names = list(self.zones)
            for service, count in upstreams_per_service.items():
                for index in range(count):
                    self.start_upstream(
                        service, f"{service}-{index + 1}",
                        zone_names[index % len(zone_names)],
                        **(upstream_settings or {}))
            for zone in zone_names:
                for index in range(daemons_per_zone[zone]):
                    self.start_daemon(f"{zone}-{index + 1}", zone)
        except BaseException:
            self.close()
            raise

    def _add(self, process):
        self.processes.append(process)
        return process

    def close(self):
        for process in self.processes:
            process.kill()
        if os.environ.get("POLLENRUDDER_KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    # Upstreams and daemons are registered in the instance list once they run.
    def start_upstream(self, service, name, zone, **settings):
        upstream = self._add(Standin(
            name, "upstream", self.folder,
            journal=os.path.join(self.folder, f"{name}.journal"),
            **{"service_ms": 2, **settings}))
        upstream.entry = {
            "name": name, "kind": "upstream", "service": service, "zone": zone,
            "region": self.zones[zone], "address": upstream.address,
            "state": "live"}
        self.upstreams[name] = upstream
        self.register(upstream)
        return upstream

    def start_daemon(self, name, zone, **settings):
        daemon = self._add(Daemon(
            name, zone, self.zones[zone], self.log.addresses[zone],
            self.instance_list.addresses[zone], self.folder, **settings))
        daemon.entry = {
            "name": daemon.instance, "kind": "entry", "zone": zone,
            "region": self.zones[zone], "address": daemon.forward,
            "peer_address": daemon.peer, "state": "live"}
        self.daemons[name] = daemon
        if self.links is not None:
            self._add_links(daemon)
        self.register(daemon)
        return daemon

    def _add_links(self, daemon):
        link = self._add(Standin(
            f"{daemon.name}-links", "link", self.folder, links={
                zone: daemon.peer for zone in self.zones
                if zone != daemon.zone}))
        self.links[daemon.name] = link
        self.instance_list.set(views={
            zone: {daemon.peer: link.addresses[zone]}
            for zone in self.zones if zone != daemon.zone})

    def cut_zone(self, zone, cut=True):
        """Cuts the daemons of a zone off from the platform and from control
        messages of other zones; cut=False ends it. Forwarded requests still
        arrive, because this makes two owners of a key more likely."""
        state = {"cut": "both" if cut else "none"}
        for name, link in self.links.items():
            inside = self.daemons[name].zone == zone
            link.set(links={("*" if inside else zone): state})
        self.log.set(cut=[zone] if cut else [])
        self.instance_list.set(cut=[zone] if cut else [])

    def register(self, process, state="live"):
        process.entry["state"] = state
        self.instance_list.control("/standin/register", process.entry)

    def unregister(self, process):
        self.instance_list.control(
            "/standin/remove", {"name": process.entry["name"]})

    def publish(self, text, *options):
        path = os.path.join(self.folder, f"section-{time.monotonic_ns()}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return subprocess.run(
            [CTL, "publish", path, "--log", self.log.address, *options],
            capture_output=True, text=True, check=False, timeout=30)

    def wait_until_served(self, targets=("/crewdesk/", *(
            f"/geodata/key-{index}" for index in range(40))), timeout_s=30):
        """Waits until every running daemon serves all targets."""
        def served(daemon):
            for target in targets:
                status, headers, _ = request(
                    daemon.caller, "GET", f"{target}?tag=ready")
                if status != 200:
                    return False
            return True
        for daemon in self.daemons.values():
            if daemon.running():
                wait_until(lambda d=daemon: served(d),
                           f"{daemon.name} serves\n{daemon.output()[-2000:]}",
                           timeout_s, 0.1)

    def route(self, service, key="", daemon=None):
        """Returns the route of a service or key in a daemon's routing table."""
        daemon = daemon or self.live_daemons()[0]
        status, _, body = request(
            daemon.admin, "GET", f"/route?service={service}&key={key}")
        assert status == 200, body
        return json.loads(body)

    def owner(self, key, service="geodata", daemon=None):
        """Returns the name of the upstream that owns the key."""
        return (self.route(service, key, daemon)["owner"] or {}).get("upstream")

    def leader(self, upstream, daemon=None):
        """Returns the daemon that leads the upstream, or None."""
        service = self.upstreams[upstream].entry["service"]
        route = self.route(service, "any", daemon)
        if "upstreams" in route:
            described = [u for u in route["upstreams"]
                         if u["upstream"] == upstream]
        else:
            described = [
                owner for owner in (
                    self.route(service, f"key-{index}", daemon)["owner"]
                    for index in range(100))
                if owner and owner["upstream"] == upstream]
        for candidate in self.daemons.values():
            if described and candidate.instance == described[0]["leader"]:
                return candidate
        return None

    def live_daemons(self):
        return [d for d in self.daemons.values() if d.running()]

    def log_records(self):
        records, first = [], 1
        while True:
            _, _, body = request(self.log.address, "GET",
                                 f"/v1/records?from={first}&limit=5000")
            response = json.loads(body)
            records += [json.loads(r["data"]) for r in response["records"]]
            if not response["records"]:
                return records
            first = response["next"]

    def executions(self):
        """Returns the executions of all upstreams, including killed ones, as
        (upstream, tag, id, shard, fence, start)."""
        found = []
        for name in self.upstreams:
            path = os.path.join(self.folder, f"{name}.journal")
            if not os.path.exists(path):
                continue
            with open(path, encoding="utf-8") as journal:
                for line in journal:
                    tag, request_id, shard, fence, start = (
                        line.rstrip("\n").split("\t"))
                    found.append((name, tag, request_id, shard, int(fence),
                                  int(start)))
        return found
