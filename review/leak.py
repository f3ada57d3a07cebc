"""The workers of a service are replaced one after the other, as in a release, while lasting jobs run there."""

import sys
import time

import standin

MAX_FILES = 4_100
GAP_S = 0.97
DRAIN_S = 2.0
# Longest time of the replacements; they end seven seconds after a gateway has no descriptor left.
REPLACED_S = 80
FINISH_S, IDLE_S = 14, 3
JOBS = 10

site = standin.Site(sys.argv[1], gateways=3, services={"render": 4}, max_files=MAX_FILES)
fleet = site.fleet
site.wait_ready()
machines = list(fleet.machines.values())
lasting = {"Count": 24, "Cpu": 250, "MemMb": 64, "EstimateMs": 900, "LongRunning": True}
short = {"Count": 2, "Cpu": 125, "MemMb": 64, "EstimateMs": 200}
accepted_count = sum(site.submit("render", {"ms": None}, [lasting])[1] for _ in range(JOBS))
if accepted_count < JOBS:
    site.finish(2, "the lasting jobs were not accepted")
time.sleep(2)


def log_files():
    site.record(f"open files: {[gateway.open_files() for gateway in site.gateways]} of {MAX_FILES}")


began_at = time.monotonic()
turn, leaving, full_at = 0, [], None
while time.monotonic() - began_at < (REPLACED_S if site.trouble else 30):
    tick = time.monotonic()
    if site.trouble:
        while leaving and tick - leaving[0][1] >= DRAIN_S:
            fleet.replace(leaving.pop(0)[0])
        machine = machines[turn % len(machines)]
        fleet.drain(machine)
        leaving.append((machine, tick))
    turn += 1
    if turn % 5 == 0:
        log_files()
    if full_at is None and max(gateway.open_files() for gateway in site.gateways) > MAX_FILES - 5:
        full_at = time.monotonic()
        site.record("a gateway has no descriptor left")
    if full_at and time.monotonic() - full_at > 7:
        break
    time.sleep(max(0.0, GAP_S - (time.monotonic() - tick)))
for machine, _ in leaving:
    fleet.replace(machine)
site.record("the last worker is replaced")
time.sleep(4)
log_files()
# The balancer sends nothing to a gateway that isn't ready.
ready = [gateway for gateway in site.gateways if gateway.is_ready()]
site.record(f"ready: {[gateway.name for gateway in ready]}")
site.gateways, all_gateways = ready, site.gateways
jobs = [site.submit("render", {"ms": 200}, [short]) for _ in range(4)]
time.sleep(FINISH_S + IDLE_S)
waiting = []
for job, accepted in jobs:
    if accepted and not any(name.startswith(job) for _, name, _, _ in fleet.starts):
        waiting.append((job, site.state("render", job)))
with fleet.lock:
    workers = [machine["worker"] for machine in machines if machine["worker"]]
    running = sum(len(worker.runs) for worker in workers)
line = (f"LOST: {len(waiting)} of {len(jobs)} jobs have nothing running {FINISH_S + IDLE_S} s later; the {len(workers)} workers "
        f"have room for {len(workers) * fleet.cpu // short['Cpu']} such tasks and run {running}")
if waiting:
    site.record(f"BROKEN {line}")
site.gateways = all_gateways
site.finish(1 if waiting else 0, line if waiting else "the rule held")
