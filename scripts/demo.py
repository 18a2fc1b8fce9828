#!/usr/bin/env python3
"""Builds pollenrudder and shows it at work with the Lochmoor document.

Starts stand-ins for the platform and for 34 upstreams, and 10 daemons in four
zones; sends requests, makes a planned stop, kills the owner of a key and the
leader of an upstream, and checks every answer. Ends with 0 only if every
guarantee held.
Run it by scripts/demo, which installs the libraries first.
usage: scripts/demo.py [--stay] [--no-build]
  --stay      keeps the system running until Ctrl-C and prints all addresses
  --no-build  uses the build folder as it is
"""
import argparse
import json
import pathlib
import subprocess
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "system"))
EXAMPLE = ROOT / "examples" / "lochmoor"
KEY = "borehole-17"
RECOVERY_LIMIT_S = 2.0


def build():
    folder = ROOT / "build"
    subprocess.run(["cmake", "-S", ROOT, "-B", folder, "-G", "Ninja"],
                   check=True, stdout=subprocess.DEVNULL)
    subprocess.run(["cmake", "--build", folder], check=True)


def say(text):
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def start():
    from deployment import Deployment
    layout = json.loads((EXAMPLE / "deployment.json").read_text())
    sections = [p.read_text() for p in sorted(EXAMPLE.glob("*.yaml"))]
    return Deployment(
        zones={z["name"]: z["region"] for z in layout["zones"]},
        daemons_per_zone={z["name"]: z["entries"] for z in layout["zones"]},
        upstreams_per_service={
            s["name"]: s["upstreams"] for s in layout["services"]},
        sections=sections, upstream_settings={"service_ms": 5})


def print_addresses(deployment):
    print(f"log {deployment.log.address}\n"
          f"instance list {deployment.instance_list.address}")
    for daemon in deployment.daemons.values():
        print(f"daemon {daemon.name} callers {daemon.caller} "
              f"admin {daemon.admin} pid {daemon.pid}")
    for upstream in deployment.upstreams.values():
        print(f"upstream {upstream.name} {upstream.address} "
              f"pid {upstream.pid}", flush=True)


def show_request(deployment):
    from processes import request
    for daemon in list(deployment.daemons.values())[:3]:
        status, headers, body = request(
            daemon.caller, "GET", f"/geodata/{KEY}?tag=demo")
        say(f"GET /geodata/{KEY} through {daemon.name}: {status} "
            f"{headers['Pollenrudder-Outcome']} {body.decode()}")


def stop_as_planned(deployment, check, load):
    from test_failures import planned_stop
    owner = deployment.owner(KEY)
    say(f"planned stop of {owner}, the owner of {KEY}")
    text = (EXAMPLE / "ground-data.yaml").read_text()
    begin = time.monotonic()
    published = deployment.publish(text + planned_stop(owner))
    print(published.stdout, end="")
    check.assertEqual(0, published.returncode, published.stderr)
    time.sleep(1 + RECOVERY_LIMIT_S)
    check.assertNotEqual(owner, deployment.owner(KEY), "the key did not move")
    check.assertEqual([], load.failed_requests(begin)[:3],
                      "requests failed during a planned stop")
    say(f"{KEY} is now served by {deployment.owner(KEY)}; no request failed")


def lose_process(deployment, check, kind, measure_loss):
    process, seconds = measure_loss(deployment, KEY, lambda p: p.kill())
    say(f"killed {process.name}, the {kind}; {KEY} was served again "
        f"after {seconds:.2f} s by {deployment.owner(KEY)}")
    check.assertLessEqual(seconds, RECOVERY_LIMIT_S)


def show(deployment, check):
    from background_load import BackgroundLoad
    from probe import measure_leader_loss, measure_upstream_loss
    say("waiting until every daemon serves every key")
    deployment.wait_until_served(timeout_s=60)
    show_request(deployment)
    with BackgroundLoad(deployment) as load:
        time.sleep(2)
        stop_as_planned(deployment, check, load)
        lose_process(deployment, check, "owner", measure_upstream_loss)
        lose_process(deployment, check, "leader", measure_leader_loss)
        deployment.wait_until_served()
    load.check(check, min_answered=200)
    say("requests by kind, outcome and error:")
    for (kind, outcome, error), count in sorted(load.summary().items()):
        print(f"  {kind:8} {outcome:9} {error or '-':24} {count}")
    say("every answer was whole and its caller's own; no refused request had "
        "run; no booking ran twice; no key had two owners")


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--stay", action="store_true")
    parser.add_argument("--no-build", action="store_true")
    options = parser.parse_args()
    if not options.no_build:
        build()
    say("starting the platform, 34 upstreams and 10 daemons")
    with start() as deployment:
        try:
            if options.stay:
                deployment.wait_until_served(timeout_s=60)
                print_addresses(deployment)
                say("running; Ctrl-C stops everything")
                while True:
                    time.sleep(1)
            show(deployment, unittest.TestCase())
        except KeyboardInterrupt:
            pass
        except AssertionError as failure:
            say(f"FAILED: {failure}")
            return 1
    say("stopped everything")
    return 0


if __name__ == "__main__":
    sys.exit(main())
