"""Rig for the scripts of this review: stand-ins of the platform (store, machines, workers) on loopback
addresses, the gateway as separate processes, and a client that records what it sends and gets.

The stand-ins do what the users' pages say of a sound platform and sound workers. Each case drives them.
"""
import asyncio
import base64
import bisect
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = "target/release/persimmongate-gateway"  # the command of the deploy file
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
RECORD_BYTES = 262_144
STOP_MS = 900
MOVE_S = 1.5
UPKEEP_S = 2.0
ANSWER_S = 0.004  # time that the store takes for an answer


class Record:
    """Writes record.txt: one line for each thing sent, answered or run."""

    def __init__(self, case):
        self.file = open(pathlib.Path(case) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        print(line, file=self.file, flush=True)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0].split(" "), headers, body


class Server:
    """Small HTTP/1.1 server with connections that stay open."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.is_dead = False

    async def start(self, address="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, address, port, limit=1 << 24, reuse_address=True)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.is_dead:
                (method, target, *_), headers, body = await read_head(reader)
                path, _, query = target.partition("?")
                params = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                status, answer = await self.handle(method, path, params, headers, body)
                if self.is_dead:
                    break
                if isinstance(answer, (dict, list)):
                    answer = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the client has left, or the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    def kill(self):
        """Ends the listener and resets its connections."""
        self.is_dead = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Partition:
    def __init__(self):
        self.records = []  # (key, value); the value is empty for a deletion
        self.newest = {}
        self.epoch = 0
        self.appends = []  # the last appends of the epoch: sequence number and offset
        self.changed = asyncio.Event()
        self.sorted, self.sorted_at = [], None

    def add(self, key, value):
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = offset
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The platform's log."""

    def __init__(self):
        self.parts = {}
        self.calls = {"append": 0, "read": 0, "newest": 0}
        self.bytes = 0

    def part(self, topic, index=0):
        return self.parts.setdefault((topic, int(index)), Partition())

    def write(self, topic, key, value):
        text = json.dumps(value).encode() if value is not None else b""
        return self.part(topic).add(key.encode(), text)

    async def handle(self, method, path, params, headers, body):
        await asyncio.sleep(ANSWER_S)
        part = self.part(params["Topic"], params["part"])
        if path == "/log-append":
            self.calls["append"] += 1
            return self.append(part, params, body)
        if path == "/log-read":
            self.calls["read"] += 1
            return await self.read(part, int(params["From"]), float(params.get("WaitMs", 0)) / 1000)
        if path == "/log-newest":
            self.calls["newest"] += 1
            return self.list_newest(part, params.get("After", ""))
        return 404, {}

    def append(self, part, params, body):
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            record = body[position + 4 : position + 4 + length]
            if length > RECORD_BYTES:
                return 400, {}
            records.append((record[1 : 1 + record[0]], record[1 + record[0] :]))
            position += 4 + length
        sequence = int(params.get("Sequence", 0))
        if "epoch" in params:
            epoch = int(params["epoch"])
            if epoch < part.epoch:
                return 409, {"Reason": "fenced"}
            if epoch == part.epoch:
                for known, offset in part.appends:
                    if known == sequence:
                        return 200, {"Offset": offset, "End": len(part.records)}
                if part.appends and sequence != part.appends[-1][0] + 1:
                    return 409, {"Reason": "seq", "Sequence": part.appends[-1][0] + 1}
        if "At" in params and int(params["At"]) != len(part.records):
            return 412, {"End": len(part.records)}
        offset = len(part.records)
        for key, value in records:
            part.add(key, value)
        if "epoch" in params:
            if int(params["epoch"]) > part.epoch:
                part.epoch, part.appends = int(params["epoch"]), []
            part.appends = (part.appends + [(sequence, offset)])[-5:]
        self.bytes += len(body)
        return 200, {"Offset": offset, "End": len(part.records)}

    async def read(self, part, start, wait):
        until = time.monotonic() + wait
        while len(part.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(part.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        out, size = [struct.pack(">QQ", len(part.records), 0)], 0
        for key, value in part.records[start:]:
            record = bytes([len(key)]) + key + value
            out.append(struct.pack(">I", len(record)) + record)
            size += len(record) + 4
            if size > 1 << 20:
                break
        return 200, b"".join(out)

    def list_newest(self, part, after):
        from urllib.parse import unquote

        after = unquote(after).encode()
        if part.sorted_at != (len(part.records), len(part.newest)):
            part.sorted_at, part.sorted = (len(part.records), len(part.newest)), sorted(part.newest)
        keys, first = part.sorted, bisect.bisect_right(part.sorted, after)
        items, size = [], 0
        for key in keys[first : first + 500]:
            offset = part.newest[key]
            value = part.records[offset][1]
            size += len(value) * 4 // 3 + 80
            if items and size > 1 << 20:
                break
            items.append({"Key": key.decode(), "Value": base64.b64encode(value).decode(), "Offset": offset})
        return 200, {"items": items, "HasMore": first + len(items) < len(keys), "End": len(part.records)}


class Worker:
    """One life of a machine. A task's time to work stands in the Spec: `ms=NUMBER`; 0 lasts."""

    def __init__(self, world, machine, service):
        self.world, self.machine, self.service = world, machine, service
        self.id = "i-%08x" % world.random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = self.until = self.sequence = self.last_end = 0
        self.state = "ready"
        self.runs, self.ended, self.highest = {}, [], {}
        self.changed = asyncio.Event()
        self.is_up = True

    async def start(self):
        self.server = await Server(self.handle).start(self.world.address)
        self.address, self.link = self.server.address, None
        if self.world.has_links:
            self.link = await Link(self.server.address).start()
            self.address = self.link.address
        self.beating = asyncio.create_task(self.beat())
        self.ticking = asyncio.create_task(self.tick())
        return self

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def tick(self):
        while self.is_up:
            self.advance()
            await asyncio.sleep(0.1)

    async def beat(self):
        while self.is_up:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        self.sequence += 1
        self.world.store.write("keyed.servers", self.id, {
            "Backend": self.service, "Address": self.address, "Zone": "a", "Version": "v1", "Slots": 8,
            "State": self.state, "ColdLeftMs": 0, "Sequence": self.sequence, "Machine": self.machine.name,
            "born": self.born, "Capacity": self.machine.capacity, "Labels": ["a", self.machine.rack]})

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.last_end, task, run["run"], how, ""])
        if self.world.logs(task):
            self.world.record("worker", self.machine.name, self.id, "run ended", task, "run", run["run"], how)
        self.world.on_end(self, task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if run["stop"] and now >= run["stop"]:
                self.end(task, "stopped")
            elif run["ms"] and now >= run["start"] + run["ms"] / 1000:
                self.end(task, run["how"])
            elif self.clock() > self.until:
                self.end(task, "lapsed")

    async def watch(self, wait):
        """Waits for an end."""
        until = time.monotonic() + wait
        while not self.ended and time.monotonic() < until and self.is_up:
            self.advance()
            await asyncio.sleep(0.01)

    async def handle(self, method, path, params, headers, body):
        message = json.loads(body) if body else {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        self.advance()
        token = message.get("FencingToken", 0)
        if token < self.token:
            return 409, {"ClockMs": self.clock(), "born": self.born, "Reason": "fence"}
        self.token = token
        if "UntilMs" in message:
            self.until = max(self.until, min(message["UntilMs"], self.clock() + HOLD_MAX_MS))
        answer = {"ClockMs": self.clock(), "born": self.born}
        task, number = message.get("Task"), message.get("Run", 0)
        if path == "/run-start":
            known = self.runs.get(task)
            if known and known["run"] == number:
                return 200, answer
            if (known and known["run"] > number) or self.highest.get(task, 0) >= number:
                return 409, answer | {"Reason": "old"}
            if message.get("UntilMs", 0) < self.clock():
                return 409, answer | {"Reason": "late"}
            if self.world.logs(task):
                self.world.record("worker", self.machine.name, self.id, "start", task, "run", number, "token", token)
            run = {"run": number, "start": time.monotonic(), "stop": None, "how": "done",
                   "ms": int(message["Spec"].partition("ms=")[2].split()[0])}
            self.world.on_start(self, task, run)
            self.runs[task] = run
        elif path == "/run-stop":
            self.highest[task] = max(self.highest.get(task, 0), number)
            known = self.runs.get(task)
            if known and known["run"] <= number and not known["stop"]:
                known["stop"] = time.monotonic() + STOP_MS / 3000
        elif path == "/hold":
            acknowledged = message.get("AckPosition", 0)
            self.ended = [end for end in self.ended if end[0] > acknowledged]
            if message.get("WaitMs"):
                await self.watch(message["WaitMs"] / 1000)
            now = time.monotonic()
            share = lambda run: min(99, int((now - run["start"]) * 100_000 / run["ms"])) if run["ms"] else 100
            answer["ClockMs"] = self.clock()
            answer["Running"] = [[name, run["run"], "", share(run), 0] for name, run in self.runs.items()]
            answer["Ended"] = self.ended[:500]
        elif path != "/pace":
            return 404, {}
        return 200, answer

    def leave(self, write=True):
        """Ends the worker and all that it runs."""
        self.is_up = False
        self.beating.cancel()
        self.ticking.cancel()
        self.server.kill()
        if self.link:
            self.link.kill()
        for task, run in self.runs.items():
            self.world.record("worker", self.machine.name, self.id, "gone with run of", task, "run", run["run"])
            self.world.on_end(self, task, run, "gone")
        self.runs = {}
        if write:
            self.world.store.write("keyed.servers", self.id, None)


class Machine:
    def __init__(self, world, number, pool):
        self.world, self.name, self.pool = world, f"m-{number:04x}", pool
        self.rack = f"r1-{number // 4}"
        self.capacity = {"Cpu": 16000, "MemMb": 32768, "Gpu": 0}
        self.state, self.worker = "up", None

    async def boot(self):
        # The machines of the spare pool are off.
        if self.pool != self.world.spare:
            self.worker = await Worker(self.world, self, self.pool).start()
        self.state = "up"

    async def restart(self, state, after, pool=None):
        self.state = state
        if self.worker:
            self.worker.leave()
            self.worker = None
        self.pool = pool or self.pool
        await asyncio.sleep(after)
        await self.boot()

    async def crash(self, down_s):
        """The worker crashes: it says nothing, and its entry lapses after three heartbeats."""
        worker, self.worker, self.state = self.worker, None, "down"
        self.world.record("DISRUPTION: worker of", self.name, worker.id, "crashes, down for", down_s, "s")
        worker.leave(write=False)
        await asyncio.sleep(down_s)
        await self.boot()
        await asyncio.sleep(max(0, 3 * HEARTBEAT_S - down_s))
        self.world.store.write("keyed.servers", worker.id, None)


class Link:
    """The link of one process to a service. A cut holds up all bytes on it, silently, and they arrive once it heals.

    As on a real link, bytes are lost if their sender resets the connection meanwhile, and a connection that is
    opened during the cut carries nothing.
    """

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.healed = asyncio.Event()
        self.generation = 0  # connections of an earlier generation are silent
        self.open = 0

    async def start(self, address="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def cut(self):
        self.is_cut = True
        self.healed = asyncio.Event()

    def heal(self):
        self.is_cut = False
        self.healed.set()

    def kill(self):
        """Ends the listener; connections are reset, as the service behind it is gone."""
        self.server.close()

    def silence(self):
        """The connections that are open now go silent for good, without a reset; new ones work."""
        self.generation += 1

    async def serve(self, reader, writer):
        self.open += 1
        generation = self.generation
        try:
            if self.is_cut:
                await self.healed.wait()
                writer.transport.abort()
                return
            host, port = self.target.split(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self.pump(reader, far_writer, generation), self.pump(far_reader, writer, generation))
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.open -= 1

    async def pump(self, reader, writer, generation):
        try:
            while data := await reader.read(1 << 16):
                if generation < self.generation:
                    continue
                if self.is_cut:
                    await self.healed.wait()
                    if reader.exception():
                        break  # the sender has reset the connection
                writer.write(data)
                await writer.drain()
            if self.is_cut:
                await self.healed.wait()
        except (ConnectionError, OSError):
            pass
        writer.close()


class World:
    def __init__(self, case, pools, spare=None):
        self.spare, self.has_links = spare, False
        self.record = Record(case)
        self.random = random.Random(os.getpid())
        self.address = "127.0.0.1"
        self.store = Store()
        self.machines, self.gateways, self.waves, self.tasks = {}, {}, {}, []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.config = None
        number = 0
        for pool, count in pools.items():
            for _ in range(count):
                machine = Machine(self, number, pool)
                self.machines[machine.name] = machine
                number += 1

    # Hooks of the cases.
    def logs(self, task):
        """Whether the runs of a task are recorded one by one."""
        return True

    def on_start(self, worker, task, run):
        pass

    def on_end(self, worker, task, run, how):
        pass

    def on_order(self, path, message, headers):
        pass

    async def start(self, gateways):
        self.store_server = await Server(self.store.handle).start(self.address)
        self.cloud_server = await Server(self.cloud).start(self.address)
        for machine in self.machines.values():
            await machine.boot()
        for name in gateways:
            self.gateways[name] = Gateway(self, name)
            await self.gateways[name].connect()
            self.gateways[name].start()
        for name in gateways:
            await self.gateways[name].until_ready()

    async def cloud(self, method, path, params, headers, body):
        await asyncio.sleep(ANSWER_S)
        if path == "/machines":
            rows = [{"Machine": m.name, "Pool": m.pool, "State": m.state, "Zone": "a", "Labels": ["a", m.rack],
                     "Capacity": m.capacity, "Id": m.worker.id if m.worker else ""} for m in self.machines.values()]
            return 200, {"Machines": rows, "NextToken": None}
        message = json.loads(body)
        machine = self.machines.get(message.get("Machine"))
        holder, token = headers.get("x-duty-holder"), headers.get("x-fencing-token")
        self.record("cloud", path, message, "holder", holder, "token", token)
        self.on_order(path, message, headers)
        if not machine:
            return 400, {}
        if path == "/machine-move":
            if machine.pool == message["Pool"]:
                return 200, {}
            if machine.state != "up":
                return 409, {"Reason": "busy"}
            self.tasks.append(asyncio.create_task(machine.restart("moving", MOVE_S, message["Pool"])))
            return 200, {}
        wave = self.waves.get(message["Wave"])
        if not wave or machine.name not in wave["Machines"]:
            return 409, {"Reason": "wave"}
        if machine.name in wave["begun"]:
            return 200, {}
        if machine.state != "up":
            return 409, {"Reason": "busy"}
        wave["begun"][machine.name] = time.monotonic()
        self.on_upkeep(wave, machine)
        self.tasks.append(asyncio.create_task(machine.restart("upkeep", UPKEEP_S)))
        return 200, {}

    def on_upkeep(self, wave, machine):
        pass

    def write_wave(self, number, machines, duration_s, cap):
        self.waves[number] = {"Wave": number, "Machines": machines, "Cap": cap, "begun": {}}
        self.record("operator: wave", number, "of", machines, "cap", cap)
        self.store.write("keyed.op", f"wave/{number}",
                         {"Wave": number, "Machines": machines, "DurationS": duration_s, "Cap": cap})

    def write_config(self, version, routes, services):
        """Routes are rows of name, service and attempts; the path prefix is the name."""
        rows = [{"Name": name, "Hostname": "queues.example", "PathPrefix": f"/{name}/", "RouteType": "non_idempotent",
                 "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0, "Backend": service, "Attempts": attempts,
                 "Stretch": 1.6} for name, service, attempts in routes]
        pools = [{"Name": name, "RejectsOverload": False, "Spare": spare} for name, spare in services]
        self.record("operator: configuration", version, "routes", routes)
        self.store.write("keyed.op", "config", {"Version": version, "Routes": rows, "Services": pools, "Limits": {}})

    async def call(self, gateway, method, path, body=None, quiet=False, timeout=3.0):
        """One request of a client on a connection of its own. Returns status and body, or None without an answer."""
        data = json.dumps(body).encode() if body is not None else b""
        try:
            host, port = gateway.front.split(":")
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = (f"{method} {path} HTTP/1.1\r\nHost: queues.example\r\nContent-Type: application/json\r\n"
                        f"X-Deadline-Ms: 3000\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n")
                writer.write(head.encode() + data)
                start, headers, text = await read_head(reader)
                writer.close()
            answer = int(start[1]), json.loads(text) if text.strip() else None
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ConnectionError):
            answer = None
        if not quiet:
            self.record("client:", method, path, "at", gateway.name, "->", answer)
        return answer

    def job_id(self):
        return "%016x" % self.random.getrandbits(64)

    async def stop(self):
        for gateway in self.gateways.values():
            gateway.kill()
        for machine in self.machines.values():
            if machine.worker:
                machine.worker.beating.cancel()
                machine.worker.ticking.cancel()
        for task in self.tasks:
            task.cancel()
        self.temporary.cleanup()


class Gateway:
    """A process of the product, on a loopback address of its own."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        while True:
            self.ip = "127.%d.%d.%d" % tuple(world.random.randint(2, 250) for _ in range(3))
            try:
                for port in (8624, 8622, 9464):
                    with socket.socket() as probe:
                        probe.bind((self.ip, port))
                break
            except OSError:
                continue
        self.links = []
        self.front, self.ready, self.process = f"{self.ip}:8624", f"{self.ip}:8622", None
        self.settings = pathlib.Path(world.temporary.name) / f"{name}.toml"
        self.logs = pathlib.Path(os.environ.get("RIG_LOGS", world.temporary.name)) / f"{name}.log"

    async def connect(self):
        """Gives the process its settings and, where the case has them, links of its own to the platform."""
        world = self.world
        store, cloud = world.store_server.address, world.cloud_server.address
        if world.has_links:
            self.links = [await Link(store).start(), await Link(cloud).start()]
            store, cloud = (link.address for link in self.links)
        self.settings.write_text(
            f'instance = "{self.name}"\nzone = "a"\nlisten = "{self.front}"\nready = "{self.ready}"\n'
            f'admin = "{self.ip}:9464"\nlog = "{store}"\nhosts = ["{cloud}"]\n'
            f'advice = []\nshards = 24\nprocessor = 0.25\nlease_max = "{HOLD_MAX_MS}ms"\nstop = "{STOP_MS}ms"\n'
            f'holder_lease = "3000ms"\nmaintenance = "{UPKEEP_S:.0f}s"\n')

    def cut(self):
        """Cuts the process off from the platform."""
        for link in self.links:
            link.cut()

    def heal(self):
        for link in self.links:
            link.heal()

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PERSIMMONGATE_NODE_FILE"] = str(self.settings)
        with open(self.logs, "a") as logs:
            self.process = subprocess.Popen([str(ROOT / PROGRAM)], cwd=ROOT, env=environment, stdout=logs, stderr=logs)
        self.world.record("process", self.name, "starts, pid", self.process.pid)

    async def until_ready(self, limit=20):
        for _ in range(limit * 20):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} does not get ready")

    async def is_ready(self):
        try:
            host, port = self.ready.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            start, _, _ = await read_head(reader)
            writer.close()
            return start[1] == "200"
        except (OSError, asyncio.IncompleteReadError):
            return False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def leads(self, what):
        """Whether this process led a shard or the fleet at the last line of its log that says so."""
        led = False
        for line in self.logs.read_text(errors="replace").splitlines():
            if f"became leader of {what}" in line:
                led = True
            elif f"no longer leader of {what}" in line:
                led = False
        return led and self.process.poll() is None


def run(case, main, world):
    """Runs a case. Its exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run."""

    async def whole():
        # A case that is ended from outside ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(112):
                return await main(world)
        finally:
            await world.stop()

    if not (ROOT / PROGRAM).exists():
        print("the program is not built")
        sys.exit(2)
    try:
        broken = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        world.record("the case could not run:", repr(error))
        print("could not run:", repr(error))
        sys.exit(2)
    verdict = f"RULE BROKEN: {broken}" if broken else "the rule held"
    world.record(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
