"""One scheduled job with many occurrences stops all jobs of its service for good."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import rig2

HERE = pathlib.Path(__file__).resolve().parent
TIMES = 10_080 if rig2.TROUBLE else 1_000  # once a minute for a week
STEPS = 4
IDLE_S = 3.0
world = rig2.World(HERE, {"finder": 8})
counts = {"starts": 0, "ends": 0}
running = set()


def on_start(worker, task, run):
    running.add(task)
    counts["starts"] += 1
    if task == f"{world.scheduled}.0.0.0":
        run["ms"] = 40_000  # the first run takes longer than the others


def on_end(worker, task, run, how):
    running.discard(task)
    counts["ends"] += 1


world.on_start, world.on_end = on_start, on_end
world.logs = lambda task: not task.startswith(world.scheduled)  # these are counted


def progress_size():
    parts = [part for (topic, _), part in world.store.parts.items() if topic == "keyed.jobs"]
    return max((len(part.records[offset][1]) for part in parts for key, offset in part.newest.items()), default=0)


async def main(world):
    world.write_config(3, [("search", "finder", 2)], [("finder", False)])
    await world.start(["front-1", "front-2", "front-3"])
    await asyncio.sleep(4)
    gateway = world.gateways["front-1"]
    world.scheduled = world.job_id()
    small = {"Cpu": 200, "MemMb": 100, "EstimateMs": 20}
    body = {"Spec": "ms=20", "Steps": [small | {"Count": 1} for _ in range(STEPS)],
            "Times": TIMES, "FirstMs": int(time.time() * 1000), "IntervalMs": 4}
    if rig2.TROUBLE:
        world.record("DISRUPTION: a job with", TIMES, "occurrences")
    answer = await world.call(gateway, "POST", f"/search/{world.scheduled}", body)
    if not answer or answer[0] != 200:
        raise RuntimeError("the scheduled job was not accepted")
    step = {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 1000}
    body = {"Spec": "ms=1000", "Steps": [step, step | {"After": [0]}]}
    jobs, idle_since, worst, states = {}, {}, {}, {}
    reported = 0
    while world.record.now() < 98:
        await asyncio.sleep(0.5)
        now = world.record.now()
        # An ordinary job of the same queue every 5 s, as long as there is time for it to end.
        if now < 80 and now // 5 > len(jobs):
            job = world.job_id()
            answer = await world.call(gateway, "POST", f"/search/{job}", body)
            jobs[job] = answer and answer[0]
        accepted = [job for job, status in jobs.items() if status == 200]
        answers = await asyncio.gather(*(world.call(gateway, "GET", f"/search/{job}", quiet=True) for job in accepted))
        for job, answer in zip(accepted, answers):
            states[job] = answer and answer[1] and answer[1].get("State")
            if states[job] == "completed" or any(task.startswith(job) for task in running):
                idle_since.pop(job, None)
            else:
                idle_since.setdefault(job, now)
                worst[job] = max(worst.get(job, 0), now - idle_since[job])
        if now - reported > 5:
            reported = now
            world.record("seen:", counts, "largest record:", progress_size(), "states of ordinary jobs:", list(states.values()))
        if not rig2.TROUBLE and now > 60 and set(states.values()) == {"completed"}:
            break
    stuck = {job: round(worst.get(job, 0), 1) for job, state in states.items() if state != "completed"}
    world.record("ordinary jobs that are not completed, with the longest time with nothing running:", stuck)
    if stuck and max(stuck.values()) > IDLE_S:
        return f"LOST: {len(stuck)} of {len(states)} accepted ordinary jobs don't end; nothing of one runs for {max(stuck.values())} s"
    return None


rig2.run(HERE, main, world)
