"""A cancel is answered 410; the acceptance of the job, held up by a cut, is stored after that, and the job runs."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import rig2

HERE = pathlib.Path(__file__).resolve().parent
CANCEL_MS = 3000
CUT_S = 5.5
ROUNDS = 5
world = rig2.World(HERE, {"finder": 8})
world.has_links = True
canceled = {}  # job -> (time and status of the answer to its cancel)
late = []


def on_start(worker, task, run):
    at, status = canceled.get(task.split(".")[0], (None, None))
    if at is not None and world.record.now() - at > CANCEL_MS / 1000:
        late.append(f"{task} starts {world.record.now() - at:.1f} s after its cancel was answered {status}")
        world.record("LATE START:", late[-1])


world.on_start = on_start


async def main(world):
    world.write_config(3, [("search", "finder", 2)], [("finder", False)])
    names = ["front-1", "front-2", "front-3"]
    await world.start(names)
    await asyncio.sleep(5)
    body = {"Spec": "ms=1000", "Steps": [{"Count": 1, "Cpu": 500, "MemMb": 256, "EstimateMs": 1000}]}
    jobs = []
    for number in range(ROUNDS):
        first, other = world.gateways[names[number % 3]], world.gateways[names[(number + 1) % 3]]
        # Requests before the cut, as on any day.
        for _ in range(3):
            await asyncio.gather(*(world.call(first, "POST", f"/search/{world.job_id()}", body, quiet=True) for _ in range(4)))
            await asyncio.sleep(0.5)
        if rig2.TROUBLE:
            world.record("DISRUPTION:", first.name, "is cut off from the platform for", CUT_S, "s")
            first.cut()
        cut_at = world.record.now()
        wave = [world.job_id() for _ in range(3)]
        jobs += wave
        answers = await asyncio.gather(*(world.call(first, "POST", f"/search/{job}", body) for job in wave))
        # The client does not know whether its jobs were taken, so it cancels them, at another process.
        for job in wave:
            while True:
                answer = await world.call(other, "DELETE", f"/search/{job}")
                if answer and (answer[0] == 410 or 200 <= answer[0] < 300):
                    canceled[job] = world.record.now(), answer[0]
                    break
                await asyncio.sleep(0.5)
        await asyncio.sleep(CUT_S - (world.record.now() - cut_at))
        if rig2.TROUBLE:
            first.heal()
            world.record("the cut of", first.name, "heals")
        await asyncio.sleep(10)
    for job in jobs:
        await world.call(world.gateways["front-2"], "GET", f"/search/{job}")
    world.record("late starts:", late)
    return late and f"UNASKED: {len(late)} starts over cancel_ms after the cancel was answered; first: {late[0]}"


rig2.run(HERE, main, world)
