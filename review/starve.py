"""One in twenty of the lasting jobs of a queue can never be done. Other jobs of the queue follow."""

import sys
import time

import standin

# The share of jobs that can never be done, and the length of its times, are those of the site file.
TIMES, LASTING, POISON_EVERY, FOR_S, PAUSE_S = 3, 180, 20, 3.0, 5.0
FINISH_S, IDLE_S = 14, 3

site = standin.Site(sys.argv[1], gateways=3, services={"render": 8})
fleet = site.fleet
site.wait_ready()
lasting = {"Count": 1, "Cpu": 10, "MemMb": 16, "EstimateMs": 900, "LongRunning": True}
short = {"Count": 2, "Cpu": 1_000, "MemMb": 512, "EstimateMs": 300}
accepted_poison, accepted_lasting = 0, 0
for _ in range(TIMES):
    began_at = time.monotonic()
    for number in range(LASTING):
        is_time = time.monotonic() - began_at < FOR_S
        is_poison = site.trouble and is_time and number % POISON_EVERY == POISON_EVERY - 1
        # No worker has this label.
        step = {**lasting, "Requirements": "k9"} if is_poison else lasting
        _, accepted = site.submit("render", {"ms": None}, [step])
        accepted_poison += accepted and is_poison
        accepted_lasting += accepted and not is_poison
    time.sleep(PAUSE_S)
site.record(f"{accepted_lasting} lasting jobs and {accepted_poison} that can never be done were accepted")
time.sleep(3)
jobs = []
for _ in range(10):
    jobs.append(site.submit("render", {"ms": 300}, [short]))
    time.sleep(0.3)
time.sleep(FINISH_S + IDLE_S)
waiting = []
for job, accepted in jobs:
    if accepted:
        state = site.state("render", job)
        if not any(name.startswith(job) for _, name, _, _ in fleet.starts):
            waiting.append((job, state))
with fleet.lock:
    workers = [machine["worker"] for machine in fleet.machines.values() if machine["worker"]]
    workers = [worker for worker in workers if worker.machine["pool"] == "render"]
    used = sum(len(worker.runs) * lasting["Cpu"] for worker in workers)
    room = len(workers) * fleet.cpu
site.record(f"capacity of the service: {used} of {room} thousandths of a core in use on {len(workers)} workers")
line = f"LOST: {len(waiting)} of {len(jobs)} jobs have nothing running {FINISH_S + IDLE_S} s later, with {room - used} of {room} free: {waiting[:3]}"
if waiting:
    site.record(f"BROKEN {line}")
site.finish(1 if waiting else 0, line if waiting else "the rule held")
