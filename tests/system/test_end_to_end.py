"""Requests through every daemon without failures."""
import json
import unittest

from background_load import BackgroundLoad
from deployment import Deployment
from processes import request, wait_until


class EndToEnd(unittest.TestCase):
    # Guards against daemons that cannot route to all services and keys, for
    # example because they cannot forward requests to other daemons.
    def test_every_daemon_serves_every_key_and_service(self):
        with Deployment() as deployment:
            deployment.wait_until_served()
            for daemon in deployment.daemons.values():
                for target in ("/geodata/k1", "/geodata/k2", "/crewdesk/"):
                    status, headers, body = request(
                        daemon.caller, "GET", f"{target}?tag=own&pad=100000")
                    self.assertEqual(200, status, body)
                    self.assertEqual("answered", headers["Pollenrudder-Outcome"])
                    response = json.loads(body)
                    self.assertEqual("own", response["tag"])
                    self.assertEqual(100000, len(response["pad"]))
                status, headers, _ = request(daemon.caller, "GET", "/none/")
                self.assertEqual(404, status)
                self.assertEqual("unknown_service",
                                 headers["Pollenrudder-Error"])
            owners = {deployment.owner(f"key-{n}", daemon=d)
                      for n in range(5) for d in deployment.daemons.values()}
            self.assertTrue(owners)

    # Guards against responses that are lost or swapped under load, and against
    # requests that run twice.
    def test_steady_load_is_answered_correctly(self):
        with Deployment() as deployment:
            deployment.wait_until_served()
            with BackgroundLoad(deployment) as load:
                wait_until(lambda: len(load.sent) > 600, "600 requests")
            load.check(self, min_answered=400)
            self.assertEqual([], load.failed_requests(), load.summary())


if __name__ == "__main__":
    unittest.main()
