"""Open connections go silent once; for a long time after that the leader tries them one by one, and nothing runs."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import rig2

HERE = pathlib.Path(__file__).resolve().parent
CALM_S, AFTER_RUN_S, IDLE_S = 4.0, 6.0, 3.0
CORES = 16
TASKS = 5
PEAK_END_S = 17.0  # the service's peak is over then, and the next one is far
world = rig2.World(HERE, {"finder": 8})
world.has_links = True
last_seen = {}  # lasting task -> time at which it was last running
used = {}  # worker -> cores in use


def on_start(worker, task, run):
    used[worker] = used.get(worker, 0) + 1


def on_end(worker, task, run, how):
    used[worker] -= 1
    world.ends[how] = world.ends.get(how, 0) + 1


world.on_start, world.on_end, world.ends = on_start, on_end, {}
world.lasting = world.job_id()
world.logs = lambda task: task.startswith(world.lasting)  # the runs of the other jobs are counted


async def main(world):
    world.write_config(3, [("search", "finder", 2)], [("finder", False)])
    names = ["front-1", "front-2", "front-3"]
    await world.start(names)
    await asyncio.sleep(5)
    answer = await world.call(world.gateways["front-1"], "POST", f"/search/{world.lasting}", {"Spec": "ms=0", "Steps": [
        {"Count": TASKS, "Cpu": 1000, "MemMb": 256, "EstimateMs": 900, "AntiAffinity": 1, "LongRunning": True}]})
    if not answer or answer[0] != 200:
        raise RuntimeError("the lasting job was not accepted")

    async def send_jobs():
        number = 0
        while world.record.now() < PEAK_END_S:
            number += 1
            await world.call(world.gateways[names[number % 3]], "POST", f"/search/{world.job_id()}", {
                "Spec": "ms=800", "Steps": [{"Count": 24, "Cpu": 1000, "MemMb": 100, "EstimateMs": 800}]}, quiet=True)
            await asyncio.sleep(0.2)

    world.tasks.append(asyncio.create_task(send_jobs()))
    await asyncio.sleep(PEAK_END_S + 2.5 - world.record.now())
    workers = [machine.worker for machine in world.machines.values()]
    world.record("open connections to the workers:", [worker.link.open for worker in workers])
    silent_at = world.record.now()
    if rig2.TROUBLE:
        world.record("DISRUPTION: the open connections to the workers go silent, new ones work")
        for worker in workers:
            worker.link.silence()
    idle_since, broken, reported = {}, {}, 0
    while world.record.now() < silent_at + 30:
        await asyncio.sleep(0.1)
        now = world.record.now()
        running = {task for worker in workers for task in worker.runs}
        in_use = sum(used.values()) / (CORES * len(workers))
        for index in range(TASKS):
            task = f"{world.lasting}.0.0.{index}"
            if task in running:
                last_seen[task] = now
                idle_since.pop(task, None)
                continue
            start = max(silent_at + CALM_S, last_seen.get(task, 0) + AFTER_RUN_S)
            if now < start or in_use >= 0.5:
                idle_since.pop(task, None)
                continue
            idle_since.setdefault(task, now)
            if now - idle_since[task] >= IDLE_S:
                broken[task] = round(now - last_seen.get(task, 0), 1)
        if now - reported > 1:
            reported = now
            lasting = sum(task.startswith(world.lasting) for task in running)
            world.record("running:", len(running), "lasting:", lasting, "in use: %.2f" % in_use, "ends:", world.ends,
                         "connections:", [worker.link.open for worker in workers])
    return broken and f"LOST: lasting tasks with nothing running beside free capacity, seconds since they last ran: {broken}"


rig2.run(HERE, main, world)
