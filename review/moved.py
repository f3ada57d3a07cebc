"""A route is replaced by one of another service while a client repeats a submission that got no answer."""

import json
import random
import sys
import time

import standin

ROUNDS = 9

site = standin.Site(sys.argv[1], gateways=3, services={"render": 6, "find": 6})
fleet = site.fleet
site.wait_ready()
task = {"Count": 3, "Cpu": 2_000, "MemMb": 1_024, "EstimateMs": 3_000}
spec = json.dumps({"ms": 3_000}, separators=(",", ":"))
backends = ["render", "find"]


def post(gateway, job, reads_answer):
    """Submits a job; without `reads_answer` the client's connection breaks before the answer."""
    path = f"/batch/{job}"
    body = {"Spec": spec, "Steps": [task]}
    status, _ = standin.request(gateway.front, "POST", path, body)
    outcome = status if reads_answer else f"{status}, which the client never sees: its connection is reset"
    site.record(f"POST {path} at {gateway.name} -> {outcome}")
    return status


def overlaps():
    """Returns the tasks of which two runs were at work at the same time."""
    found = []
    open_runs = {}
    events = [(at, 1, name, run, worker) for at, name, run, worker in fleet.starts]
    events += [(at, 0, name, run, worker) for at, name, run, how, worker in fleet.ends]
    for at, is_start, name, run, worker in sorted(events):
        runs = open_runs.setdefault(name, {})
        if is_start:
            if runs:
                found.append(f"TWICE: {name} starts at {at:.3f} on {worker} (run {run}) while it runs on {runs}")
            runs[worker] = run
        else:
            runs.pop(worker, None)
    return found


site.configure({"batch": "render"})
time.sleep(6)
broken = []
for number in range(ROUNDS):
    first, second = random.sample(site.gateways, 2)
    job = f"{random.getrandbits(64):016x}"
    post(first, job, reads_answer=not site.trouble)
    time.sleep(0.05)
    if site.trouble:
        site.configure({"batch": backends[(number + 1) % 2]}, f"-{number}")
        time.sleep(0.1)
        post(second, job, reads_answer=True)
    time.sleep(4)
    broken = overlaps()
    if broken:
        break
    time.sleep(3)
for line in broken:
    site.record(f"BROKEN {line}")
    print(line)
site.finish(1 if broken else 0, f"{len(broken)} tasks ran twice at a time" if broken else "the rule held")
