"""A worker is cut off from the store and starts again behind the cut, under its id and as another kind."""

import sys
import threading
import time

import standin

CUT_S = 4.0

site = standin.Site(sys.argv[1], gateways=3, services={"render": 5})
fleet = site.fleet
site.wait_ready()
# Four of them fill a worker, so that each job needs all workers.
task = {"Count": 20, "Cpu": 4_000, "MemMb": 1_024, "EstimateMs": 700, "Requirements": "a"}
jobs = []


def submit_for(seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        jobs.append(site.submit("render", {"ms": 700}, [task]))
        time.sleep(0.8)


submit_for(4)
if site.trouble:
    machine = fleet.machines["m-render-0"]
    fleet.restart_behind_cut(machine, "b", CUT_S)
submit_for(6)
time.sleep(4)
broken = [f"ROUTE: {name} starts at {at:.3f} on {worker}, which is of kind {kind}; Requirements a"
          for at, name, worker, kind in fleet.kinds_of_starts if kind != "a"]
for line in broken:
    site.record(f"BROKEN {line}")
site.finish(1 if broken else 0, f"{len(broken)} starts without the label" if broken else "the rule held")
