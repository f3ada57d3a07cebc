"""A configuration sends a queue to another service while an accepted job has steps left."""

import sys
import time

import standin

site = standin.Site(sys.argv[1], gateways=3, services={"render": 6, "find": 6})
fleet = site.fleet
site.wait_ready()

task = {"Count": 2, "Cpu": 2_000, "MemMb": 1_024, "EstimateMs": 3_000}
job, accepted = site.submit("render", {"ms": 3_000}, [task, {**task, "After": [0]}])
if not accepted:
    site.finish(2, "the job was not accepted")
site.wait_state("render", job, ("running",), 10)
if site.trouble:
    site.configure({"render": "find", "find": "find"})
changed_at = standin.now()
others, until = [], time.monotonic() + 25
while time.monotonic() < until:
    others.append(("render", *site.submit("render", {"ms": 300}, [{**task, "EstimateMs": 300}])))
    if site.state("render", job) in ("completed", "failed", "canceled"):
        break
    time.sleep(1)
states = {site.wait_state(route, other, ("completed",), 10) for route, other, accepted in others if accepted}
site.record(f"states of the jobs submitted after the change: {states}")
time.sleep(14)
state = site.state("render", job)
steps = sorted({start[1].split(".")[2] for start in fleet.starts if start[1].startswith(job)})
site.record(f"job {job} is shown as {state}, {standin.now() - changed_at:.1f} s after the change; "
            f"steps with a start: {steps}")
if state != "completed":
    line = f"LOST: job {job} has nothing running while the turn of its second step has come; it is shown as {state}"
    site.record(f"BROKEN {line}")
    site.finish(1, line)
site.finish(0, "the rule held")
