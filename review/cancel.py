"""A machine loses power right after it has accepted a job, and the client cancels the job at another machine."""

import random
import signal
import sys
import time

import standin

ROUNDS = 5
DOWN_S = 3.0
CANCEL_MS, STOP_MS = 3_000, 900

site = standin.Site(sys.argv[1], gateways=6, services={"render": 6, "find": 6})
fleet = site.fleet
site.wait_ready()
time.sleep(3)
task = {"Count": 2, "Cpu": 2_000, "MemMb": 1_024, "EstimateMs": 900, "LongRunning": True}
jobs = []
for number in range(ROUNDS):
    first, second = random.sample(site.gateways, 2)
    job, accepted = f"{random.getrandbits(64):016x}", False
    path = f"/render/{job}"
    status, _ = standin.request(first.front, "POST", path, {"Spec": '{"ms":null}', "Steps": [task]})
    site.record(f"POST {path} at {first.name} -> {status}")
    if status != 200:
        continue
    if site.trouble:
        first.send_signal(signal.SIGKILL)
        first.process.wait()
    time.sleep(random.uniform(0.05, 0.4))
    # The client's call reaches another machine only if the one that it used is gone.
    for gateway in ([second] if site.trouble else [first]):
        status, _ = standin.request(gateway.front, "DELETE", path)
        site.record(f"DELETE {path} at {gateway.name} -> {status}")
    if status in (200, 202, 204, 410):
        jobs.append((job, standin.now(), status))
    if site.trouble:
        time.sleep(DOWN_S)
        first.start()
    time.sleep(8)

broken = []
time.sleep(6)
for job, at, status in jobs:
    state = site.state("render", job)
    ends = {(name, run, worker): end_at for end_at, name, run, how, worker in fleet.ends}
    for start_at, name, run, worker in fleet.starts:
        if not name.startswith(job):
            continue
        # The last machine is back for 14 s, so that no disruption excuses a run that is still at work.
        is_at_work = (name, run, worker) not in ends
        if is_at_work and standin.now() - at > (CANCEL_MS + STOP_MS) / 1_000:
            broken.append(f"UNASKED: the cancelling of {job} was answered with {status} at {at:.3f}; {name} run {run} "
                          f"still runs at {standin.now():.3f} on {worker}; the job is shown as {state}")
for line in broken:
    site.record(f"BROKEN {line}")
    print(line)
site.finish(1 if broken else 0, f"{len(broken)} runs of cancelled jobs went on" if broken else "the rule held")
