"""The worker under a long task crashes some times. No run of the task ends as failed."""

import sys
import time

import standin

CRASHES = 3
DOWN_S = 4.5

site = standin.Site(sys.argv[1], gateways=3, services={"render": 8, "find": 8})
fleet = site.fleet
site.wait_ready()

long_task = {"Count": 1, "Cpu": 4_000, "MemMb": 1_024, "EstimateMs": 12_000}
short_task = {"Count": 2, "Cpu": 2_000, "MemMb": 1_024, "EstimateMs": 300}
job, accepted = site.submit("render", {"ms": 12_000}, [long_task])
if not accepted:
    site.finish(2, "the job was not accepted")
name = f"{job}.0.0.0"


def running_on():
    """Returns the machine on which the task runs, and for how long it has run."""
    with fleet.lock:
        for machine in fleet.machines.values():
            worker = machine["worker"]
            if worker and name in worker.runs:
                return machine, time.monotonic() - worker.runs[name]["at"]
    return None, 0.0


crashes, crashed_at, others, state = 0, 0.0, [], ""
until = time.monotonic() + 75
while time.monotonic() < until:
    others.append(("find", *site.submit("find", {"ms": 300}, [short_task])))
    state = site.state("render", job)
    if state in ("completed", "failed", "canceled"):
        break
    machine, age = running_on()
    # At most one worker is down at a time.
    is_calm = time.monotonic() - crashed_at > DOWN_S + 0.5
    if site.trouble and crashes < CRASHES and machine and age > 5 and is_calm:
        fleet.crash(machine, DOWN_S)
        crashed_at = time.monotonic()
        crashes += 1
    time.sleep(0.3)
states = {site.wait_state(route, other, ("completed",), 10) for route, other, accepted in others if accepted}
site.record(f"states of the other jobs: {states}")
time.sleep(3)
state = site.state("render", job)
failed = [end for end in fleet.ends if end[1] == name and end[3] == "failed"]
site.record(f"job {job} is shown as {state} after {crashes} crashes; {len(failed)} of its runs ended failed; "
            f"Attempts {site.attempts}")
if state == "failed" and len(failed) < site.attempts:
    line = f"LOST: job {job} is shown as failed; {len(failed)} runs ended failed, Attempts {site.attempts}"
    site.record(f"BROKEN {line}")
    site.finish(1, line)
if state != "completed":
    site.finish(1, f"LOST: job {job} is shown as {state} long after its last crash")
site.finish(0, "the rule held")
