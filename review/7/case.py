"""An accepted job is shown as failed although none of its runs has ended so: its workers crashed."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import rig2

HERE = pathlib.Path(__file__).resolve().parent
world = rig2.World(HERE, {"finder": 8})
ends = {}
where = {}


def on_start(worker, task, run):
    where[task] = worker


def on_end(worker, task, run, how):
    ends.setdefault(task, []).append(how)


world.on_start, world.on_end = on_start, on_end


async def main(world):
    world.write_config(3, [("search", "finder", 2)], [("finder", False)])
    await world.start(["front-1", "front-2", "front-3"])
    await asyncio.sleep(4)
    gateway = world.gateways["front-1"]
    job = world.job_id()
    body = {"Spec": "ms=7000", "Steps": [{"Count": 1, "Cpu": 3500, "MemMb": 1000, "EstimateMs": 7000}]}
    answer = await world.call(gateway, "POST", f"/search/{job}", body)
    if not answer or answer[0] != 200:
        raise RuntimeError("the job was not accepted")
    task = f"{job}.0.0.0"
    crashes = 0
    state = None
    while world.record.now() < 100:
        await asyncio.sleep(1)
        answer = await world.call(gateway, "GET", f"/search/{job}")
        state = answer and answer[1] and answer[1].get("State")
        if state in ("completed", "failed", "canceled"):
            break
        worker = where.get(task)
        # The next worker crashes once the one before is up again, so that one of eight is down at a time.
        if rig2.TROUBLE and worker and task in worker.runs and crashes < 3:
            await asyncio.sleep(max(0, worker.runs[task]["start"] + 4.8 - time.monotonic()))
            if task in worker.runs:
                crashes += 1
                world.tasks.append(asyncio.create_task(worker.machine.crash(4.5)))
    world.record("ends of the task:", ends.get(task), "crashes:", crashes, "last state:", state)
    if state == "failed" and "failed" not in ends.get(task, []):
        return "LOST: the job is shown as failed, no run of it has ended `failed`"
    if state != "completed":
        raise RuntimeError(f"the job ended as {state}")
    return None


rig2.run(HERE, main, world)
