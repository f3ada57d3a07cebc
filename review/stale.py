"""The holder of the machines' duties is cut off while it has orders to give, and its orders arrive after the cut."""

import sys
import threading
import time

import standin

CUT_S = 12.0
ROUNDS = 3
CAP = 2

site = standin.Site(sys.argv[1], gateways=3, services={"render": 4}, spare=6, has_proxies=True)
fleet = site.fleet
site.wait_ready()
time.sleep(5)
machines = [name for name in fleet.machines if name.startswith("m-spare")]

for number in range(1, ROUNDS + 1):
    first_order, holder = threading.Event(), []

    def note_order(order):
        if order[0] == "/machine-upkeep" and not first_order.is_set():
            holder.append(order[2])
            first_order.set()

    fleet.on_order = note_order
    fleet.request_wave(number, machines, CAP, 26)
    if not first_order.wait(15):
        site.finish(2, "no upkeep began")
    gateway = next(gateway for gateway in site.gateways if gateway.name == holder[0])
    # Shortly before the next machines are due, as the first ones are up again.
    time.sleep(4.7)
    if site.trouble:
        gateway.partition(True)
        time.sleep(CUT_S)
        gateway.partition(False)
        time.sleep(8)
    else:
        time.sleep(CUT_S + 8)
    begun = fleet.waves[number]["begun"]
    site.record(f"wave {number}: upkeep of {len(begun)} of {len(machines)} machines has begun")
    if fleet.violations:
        break
site.finish(1 if fleet.violations else 0, "; ".join(fleet.violations) or "the rule held")
