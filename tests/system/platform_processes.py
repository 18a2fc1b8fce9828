"""A daemon on the platform, with a stand-in for its store and an upstream."""
import base64
import http.server
import json
import os
import random
import resource
import socket
import struct
import sys
import threading
import time
import urllib.parse

import processes

# The responses to GET requests have this size, unless the query has "bytes".
RESPONSE_BYTES = 1 << 20


def free_ports(count):
    """Returns the first of `count` consecutive ports that are free."""
    while True:
        first = random.randrange(10_000, 32_000)
        try:
            for port in range(first, first + count):
                with socket.socket() as trial:
                    trial.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves the store's calls below /v1/, and is an upstream otherwise."""
    protocol_version = "HTTP/1.1"
    response_body = bytes(RESPONSE_BYTES)

    def log_message(self, *_args):
        pass

    def _send(self, status, body, **headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.end_headers()
        self.wfile.write(body)

    def _respond(self, status, body, **headers):
        self._send(status, body, **headers, Content_Length=str(len(body)))

    def _respond_as_upstream(self, body):
        """The query may have "work-ms", "bytes" and the "framing" of the body:
        chunked, or close if it ends with the connection."""
        request_id = self.headers.get("X-Pollenrudder-Request-Id", "")
        self.server.runs.add(request_id)
        query = dict(urllib.parse.parse_qsl(
            urllib.parse.urlsplit(self.path).query))
        time.sleep(int(query.get("work-ms", 0)) / 1000)
        if "bytes" in query:
            body = bytes(int(query["bytes"]))
        fields = {"X_Pollenrudder_Server_Stamp": "1.2.3",
                  "X_Pollenrudder_Request_Id": request_id}
        if query.get("framing") == "chunked":
            fields["Transfer_Encoding"] = "chunked"
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        elif query.get("framing") == "close":
            fields["Connection"] = "close"
            self.close_connection = True
        else:
            fields["Content_Length"] = str(len(body))
        self._send(200, body, **fields)

    @staticmethod
    def _format_record(key, value):
        content = bytes([len(key)]) + key.encode() + value.encode()
        return struct.pack(">I", len(content)) + content

    def do_GET(self):  # pylint: disable=invalid-name
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        records = self.server.topics.get(query.get("topic"), [])
        if url.path == "/v1/log-newest":
            newest = {key: (offset, value)
                      for offset, (key, value) in enumerate(records)}
            items = [{"key": key, "offset": offset,
                      "value": base64.b64encode(value.encode()).decode()}
                     for key, (offset, value) in newest.items()]
            self._respond(200, json.dumps(
                {"items": items, "has-more": False,
                 "end-offset": len(records)}).encode(), Store_Era="1")
        elif url.path.startswith("/v1/"):
            first = int(query.get("from", 0))
            end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
            while (len(records) <= first and time.monotonic() < end and
                   not self.server.stopped.wait(0.05)):
                pass
            self._respond(200, struct.pack(">QQ", len(records), 0) + b"".join(
                self._format_record(*record) for record in records[first:]),
                          Store_Era="1")
        else:
            self._respond_as_upstream(self.response_body)

    def do_POST(self):  # pylint: disable=invalid-name
        left = int(self.headers.get("Content-Length", 0))
        while left > 0:
            part = self.rfile.read(min(left, 1 << 16))
            if not part:
                return
            left -= len(part)
        if self.path.startswith("/v1/"):
            self._respond(503, b"", Store_Era="1")
        else:
            self._respond_as_upstream(b"")


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request, client_address):
        """Daemons are killed and close connections while requests run."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class PlatformDaemon(processes.Process):
    """pollenrudderd --platform with one route, "/", and one upstream."""

    def __init__(self, folder, memory_mb, max_body_bytes, max_fds=4100,
                 slots=40, header_timeout_s=3600, idle_timeout_s=3600,
                 upstream_address=None):
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.stopped = threading.Event()
        # The ids of the requests that the upstream has run.
        self._server.runs = set()
        address = f"127.0.0.1:{self._server.server_address[1]}"
        self._max_body_bytes = max_body_bytes
        self._slots = slots
        # Long by default, so that no crowd goes away by itself during a test.
        self._timeouts = {"header-timeout-s": header_timeout_s,
                          "idle-timeout-s": idle_timeout_s}
        self._version = 1
        self.prefix = "/"
        self._server.topics = {
            "keyed.op": [("config", self._configuration())],
            "keyed.servers": [("i-1", json.dumps({
                "service": "one", "address": upstream_address or address,
                "zone": "a1",
                "slots": slots, "state": "ready", "born": 1, "sequence": 1}))]}
        threading.Thread(target=self._server.serve_forever,
                         daemon=True).start()
        port = free_ports(4)
        self.caller = f"127.0.0.1:{port}"
        # The ports of the daemon's internal listeners are fixed offsets from
        # the first internal port.
        self.listeners = {
            "caller": self.caller, "ready": f"127.0.0.1:{port + 1}",
            "instances": f"127.0.0.1:{port + 2}",
            "metrics": f"127.0.0.1:{port + 3}"}
        settings = {
            "node-name": "front-a-1", "ip": "127.0.0.1", "zone": "a1",
            "zones": {"a1": "a"}, "internal-ports": [port + 2, port + 3],
            "listen": {"frontend": self.caller,
                       "ready": self.listeners["ready"]},
            "limits": {"memory-mb": memory_mb, "max-fds": max_fds},
            "platform": {"address": address, "form": "log"}}
        path = os.path.join(folder, "settings.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self._folder = folder
        self._settings_path = path
        self._max_fds = max_fds
        self.start()
        processes.wait_until(lambda: self.answers(b""), "the list is read")

    def _configuration(self):
        resources = [
            ("routes", "all", {
                "hostname": "a.example", "path-prefix": self.prefix,
                "kind": "unsafe", "timeout-s": 20, "service": "one"}),
            ("services", "one", {
                "health-path": "/health", "max-connections": self._slots,
                "sharded": False}),
            ("limits", "callers", {
                "max-header-bytes": 16384,
                "max-body-bytes": self._max_body_bytes, **self._timeouts})]
        return json.dumps({"version": f"r{self._version}", "resources": [
            {"resource-kind": kind, "metadata": {"name": name}, "spec": spec}
            for kind, name, spec in resources]})

    def move_route(self):
        """Publishes a configuration whose only route has another prefix."""
        self._version += 1
        self.prefix = f"/{self._version}/"
        self._server.topics["keyed.op"].append(
            ("config", self._configuration()))

    def start(self):
        """Starts the process, also again after its end."""
        super().__init__("front-a-1", [
            processes.DAEMON, "--platform", "--settings",
            self._settings_path], self._folder)
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE,
                         (self._max_fds, self._max_fds))
        self.wait_for_output("name=plan_in_force")

    def has_run(self, request_id):
        """Returns whether the upstream has run the request."""
        return request_id in self._server.runs

    def answers(self, body):
        """Returns whether a request with this body is served on the route of
        the newest configuration."""
        try:
            return processes.request(self.caller, "POST", self.prefix, body,
                                     {"Host": "a.example"})[0] == 200
        except OSError:
            return False

    def stop(self):
        self.kill()
        self._server.stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def _status_bytes(self, name):
        with open(f"/proc/{self.pid}/status", encoding="utf-8") as file:
            line = next(line for line in file if line.startswith(name + ":"))
        return int(line.split()[1]) << 10

    def resident_bytes(self):
        return self._status_bytes("VmRSS")

    def peak_resident_bytes(self):
        return self._status_bytes("VmHWM")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def sockets(self):
        folder = f"/proc/{self.pid}/fd"
        count = 0
        for name in os.listdir(folder):
            try:
                count += os.readlink(f"{folder}/{name}").startswith("socket:")
            except OSError:
                pass  # Closed since it was listed.
        return count
