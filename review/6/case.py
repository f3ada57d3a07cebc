"""An order that a cut held up reaches the platform after its sender has lost the lead: a lower token after a higher one."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
sys.dont_write_bytecode = True
import rig2

HERE = pathlib.Path(__file__).resolve().parent
CAP = 1
CUT_S = 12.0
ROUNDS = 3
world = rig2.World(HERE, {"finder": 2, "classifier": 2, "catalogue": 16}, spare="catalogue")
world.has_links = True
highest = {}  # machine -> highest token and its holder
broken = []
first_orders = {}


def on_order(path, message, headers):
    machine, token = message.get("Machine"), int(headers["x-fencing-token"])
    holder = headers["x-duty-holder"]
    known = highest.get(machine, (0, None))
    if token < known[0]:
        broken.append(f"{path} of {machine}: token {token} of {holder} after {known[0]} of {known[1]}")
        world.record("LOWER TOKEN AFTER A HIGHER ONE:", broken[-1])
    highest[machine] = max(known, (token, holder))
    if path == "/machine-upkeep" and message["Wave"] not in first_orders:
        first_orders[message["Wave"]] = holder


world.on_order = on_order


async def main(world):
    services = ["finder", "classifier"]
    world.write_config(3, [("q-" + name, name, 2) for name in services],
                       [(name, False) for name in services] + [("catalogue", True)])
    await world.start(["front-1", "front-2", "front-3"])
    await asyncio.sleep(6)
    spare = [name for name, machine in world.machines.items() if machine.pool == "catalogue"]
    for number in range(ROUNDS):
        # Four waves of three machines each. The second machine of each follows about 5 s after its first.
        waves = [number * 4 + index for index in range(1, 5)]
        for wave in waves:
            first = (wave - 1) % 4 * 3
            world.write_wave(wave, spare[first : first + 3], 40, CAP)
            await asyncio.sleep(0.15)
        while waves[0] not in first_orders:
            await asyncio.sleep(0.02)
        await asyncio.sleep(4.2)
        gateway = world.gateways[first_orders[waves[0]]]
        if rig2.TROUBLE:
            world.record("DISRUPTION:", gateway.name, "is cut off from the platform for", CUT_S, "s")
            gateway.cut()
        await asyncio.sleep(CUT_S)
        if rig2.TROUBLE:
            gateway.heal()
            world.record("the cut of", gateway.name, "heals")
        await asyncio.sleep(12)
    begun = [len(wave["begun"]) for wave in world.waves.values()]
    world.record("machines begun, by wave:", begun, "lower tokens:", broken)
    return broken and f"ONE: {broken}"


rig2.run(HERE, main, world)
