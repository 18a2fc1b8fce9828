"""Child processes of a test, with access to their output and HTTP endpoints."""
import http.client
import json
import os
import re
import signal
import subprocess
import time

BUILD = os.environ.get(
    "POLLENRUDDER_BUILD",
    os.path.join(os.path.dirname(__file__), "..", "..", "build"))
STANDIN = os.path.join(BUILD, "standins", "pollenrudder_standin")
DAEMON = os.path.join(BUILD, "apps", "pollenrudderd", "pollenrudderd")
CTL = os.path.join(BUILD, "apps", "pollenrudderctl", "pollenrudderctl")
DEFAULT_TIMEOUT_S = 20.0


def wait_until(condition, what, timeout_s=DEFAULT_TIMEOUT_S, interval_s=0.01):
    """Returns the first true value of condition(); fails after the timeout."""
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"not within {timeout_s} s: {what}")
        time.sleep(interval_s)


def request(address, method, target, body=None, headers=None, timeout_s=5.0):
    """Sends one request on a new connection; returns (status, headers, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Process:
    """A child process whose output is written to a file."""

    def __init__(self, name, command, folder):
        self.name = name
        self.output_path = os.path.join(folder, f"{name}.log")
        with open(self.output_path, "ab") as output:
            self._start = output.tell()
            self.process = subprocess.Popen(
                command, stdout=output, stderr=output, stdin=subprocess.DEVNULL)
        self.pid = self.process.pid

    def output(self):
        with open(self.output_path, "rb") as output:
            output.seek(self._start)
            return output.read().decode(errors="replace")

    def running(self):
        return self.process.poll() is None

    def wait_for_output(self, pattern, timeout_s=DEFAULT_TIMEOUT_S):
        def search():
            found = re.search(pattern, self.output(), re.M)
            if not found and not self.running():
                raise AssertionError(f"{self.name} ended:\n{self.output()}")
            return found
        return wait_until(search, f"{self.name} prints {pattern}", timeout_s)

    def send_signal(self, number):
        os.kill(self.pid, number)

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        if self.running():
            self.send_signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self):
        self.send_signal(signal.SIGTERM)

    def wait(self, timeout_s=DEFAULT_TIMEOUT_S):
        return self.process.wait(timeout_s)


class Standin(Process):
    """A pollenrudder_standin process, controlled through its main listener."""

    def __init__(self, name, kind, folder, listeners=("main",), links=None,
                 address="127.0.0.1:0", **settings):
        command = [STANDIN, kind, "--set",
                   json.dumps({"name": name, **settings})]
        for listener in listeners:
            command += ["--listen", f"{listener}={address}"]
        for link, target in (links or {}).items():
            command += ["--link", f"{link}={target}"]
        super().__init__(name, command, folder)
        self.wait_for_output("^ready$")
        self.addresses = dict(
            re.findall(r"^listening (\S+) (\S+)$", self.output(), re.M))
        self.address = self.addresses["main"]

    def set(self, **settings):
        self.control("/standin/set", settings)

    def control(self, path, body):
        status, _, _ = request(self.address, "POST", path, json.dumps(body))
        assert status == 200, (self.name, path, status)

    def counts(self):
        return json.loads(request(self.address, "GET", "/standin/counts")[2])


class Daemon(Process):
    """A pollenrudderd process, with the addresses from its first log line."""

    def __init__(self, name, zone, region, log, instance_list, folder,
                 **settings):
        self.zone = zone
        self.region = region
        settings = {
            "name": name, "zone": zone, "region": region, "log": log,
            "instance_list": instance_list, "caller": "127.0.0.1:0",
            "forward": "127.0.0.1:0", "peer": "127.0.0.1:0",
            "admin": "127.0.0.1:0", **settings}
        path = os.path.join(folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        super().__init__(name, [DAEMON, "--settings", path], folder)
        line = self.wait_for_output("name=daemon_started (.*)$").group(1)
        fields = dict(re.findall(r"(\w+)=(\S+)", line))
        self.instance = fields["instance"]
        self.caller = fields["caller"]
        self.forward = fields["forward"]
        self.peer = fields["peer"]
        self.admin = fields["admin"]

    def status(self):
        return json.loads(request(self.admin, "GET", "/status")[2])

    def metrics(self):
        """Returns the metric values by name with labels."""
        text = request(self.admin, "GET", "/metrics")[2].decode()
        return {name: float(value) for name, value in
                re.findall(r"^(\S+(?:\{.*\})?) (\S+)$", text, re.M)}

    def usage(self):
        """Returns (CPU seconds, resident bytes) of the process."""
        with open(f"/proc/{self.pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return (ticks / os.sysconf("SC_CLK_TCK"),
                int(fields[21]) * os.sysconf("SC_PAGE_SIZE"))
