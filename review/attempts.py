"""A route is removed and comes back while an accepted job of it runs, whose task fails once."""

import sys
import time

import standin

site = standin.Site(sys.argv[1], gateways=3, services={"render": 6, "find": 6})
fleet = site.fleet
site.wait_ready()
task = {"Count": 2, "Cpu": 2_000, "MemMb": 1_024, "EstimateMs": 4_000}
job, accepted = site.submit("render", {"ms": 4_000, "fails_first": True}, [task])
if not accepted:
    site.finish(2, "the job was not accepted")
site.wait_state("render", job, ("running",), 3)
if site.trouble:
    site.configure({"find": "find"})
time.sleep(6)
if site.trouble:
    site.configure({"render": "render", "find": "find"})
time.sleep(3)
state = site.wait_state("render", job, ("completed", "failed", "canceled"), 20)
counts = {}
for _, name, run, how, worker in fleet.ends:
    if name.startswith(job) and how == "failed":
        counts[name] = counts.get(name, 0) + 1
site.record(f"job {job} is shown as {state}; runs ended failed by task: {counts}; Attempts {site.attempts}")
if state == "failed" and max(counts.values(), default=0) < site.attempts:
    line = f"LOST: job {job} is shown as failed; no task has failed more than {max(counts.values(), default=0)} times, Attempts {site.attempts}"
    site.record(f"BROKEN {line}")
    site.finish(1, line)
if state != "completed":
    site.finish(1, f"LOST: job {job} is shown as {state}")
site.finish(0, "the rule held")
