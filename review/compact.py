"""A leader reads its partition anew while it leads, after the store has forgotten its history."""

import sys
import time

import standin

site = standin.Site(sys.argv[1], gateways=3, services={"render": 8, "find": 8})
fleet, store = site.fleet, site.store
site.wait_ready()

task = {"Count": 2, "Cpu": 2_000, "MemMb": 1_024, "EstimateMs": 600}
# Its first step is done; the task of its second step fails at each attempt, as of a job that can never be done.
poison, poison_accepted = site.submit("render", {"ms": 600, "fails": [1]}, [task, {**task, "Count": 1, "After": [0]}])
# It runs until it is cancelled.
lasting, lasting_accepted = site.submit("find", {"ms": None}, [{**task, "LongRunning": True}])
if not (poison_accepted and lasting_accepted):
    site.finish(2, "the jobs were not accepted")
poison_state = site.wait_state("render", poison, ("failed", "completed"), 15)
lasting_state = site.wait_state("find", lasting, ("running",), 10)
time.sleep(2)
cancelled, _ = site.call("DELETE", f"/find/{lasting}")
cancelled_at = standin.now()
if poison_state != "failed" or lasting_state != "running" or cancelled != 200:
    site.finish(2, f"the jobs did not reach their states: {poison_state}, {lasting_state}, {cancelled}")


def submit_for(seconds):
    """Submits short jobs to both queues, and returns whether all are shown as completed."""
    until, jobs = time.monotonic() + seconds, []
    while time.monotonic() < until:
        for route in ("render", "find"):
            jobs.append((route, *site.submit(route, {"ms": 300}, [{**task, "EstimateMs": 300}])))
        time.sleep(0.5)
    return jobs


# Longer than a leader keeps a job that has ended.
jobs = submit_for(24)
forgotten_at = standin.now()
if site.trouble:
    # Readers hear nothing for a second while changes are made; then the history is dropped and they are cut.
    site.record("the store's readers hear nothing")
    store.is_deaf = True
    jobs += submit_for(1)
    store.forget()
    site.record("the store has forgotten its history")
jobs += submit_for(8)
time.sleep(4)
states = {site.wait_state(route, job, ("completed",), 10) for route, job, accepted in jobs if accepted}
site.record(f"states of the short jobs: {states}")
site.record(f"states: {poison} {site.state('render', poison)}, {lasting} {site.state('find', lasting)}")

broken = []
ended = {}
for at, name, run, how in fleet.acknowledged:
    ended.setdefault((name, how), []).append((at, run))
for at, name, run, worker in fleet.starts:
    done = [end for end in ended.get((name, "done"), []) if end[0] < at]
    failed = [end for end in ended.get((name, "failed"), []) if end[0] < at]
    if done:
        broken.append(f"TWICE: {name} run {run} starts at {at:.3f} on {worker}; it ended done as run {done[0][1]}, "
                      f"which was taken note of at {done[0][0]:.3f}")
    if len(failed) >= site.attempts:
        broken.append(f"BUDGET: {name} run {run} starts at {at:.3f} on {worker} after {len(failed)} runs ended failed, "
                      f"Attempts {site.attempts}")
    if name.startswith(lasting) and at > cancelled_at + 3.0:
        broken.append(f"UNASKED: {name} run {run} starts at {at:.3f} on {worker}; its job was cancelled at "
                      f"{cancelled_at:.3f}")
for line in broken:
    site.record(f"BROKEN {line}")
    print(line)
site.finish(1 if broken else 0, f"{len(broken)} starts break a rule" if broken else "the rules held")
