"""Stand-ins of the platform for the scripts of this review: the store, the machines and the workers.

Everything listens on loopback addresses. What the stand-ins do follows PROTOCOL.md; disruptions are
switched on by the scripts.
"""

import base64
import json
import os
import random
import resource
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEARTBEAT_S = 1.5
MAX_WORKER_CONNECTIONS = 64
STOP_S = 0.2
HOLD_MAX_MS = 10_000
UPKEEP_S = 2.0
MOVE_S = 1.5
START = time.monotonic()


def now():
    """Time since the start of the script, in seconds."""
    return time.monotonic() - START


class Record:
    """The record of what was sent, answered and run. One line an event."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")

    def flush(self):
        with self.lock:
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def handle(self):
        self.server.connections.add(self.connection)
        try:
            super().handle()
        except (OSError, ValueError):
            pass
        finally:
            self.server.connections.discard(self.connection)

    def serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        reply = self.server.reply(self.command, url.path, query, self.headers, body)
        if reply is None:
            # The connection ends without a response.
            self.close_connection = True
            try:
                self.connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            return
        status, payload = reply
        if not isinstance(payload, bytes):
            payload = json.dumps(payload).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    do_GET = do_POST = do_DELETE = serve


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, reply, port=0, max_connections=None):
        super().__init__(("127.0.0.1", port), Handler)
        self.max_connections = max_connections
        self.connections = set()
        self.reply = reply
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def verify_request(self, *_):
        return self.max_connections is None or len(self.connections) < self.max_connections

    def handle_error(self, *_):
        pass

    def stop(self):
        """Closes the listener and all connections, as a process that ends does."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Proxy:
    """Stands between one gateway and a service, and can partition them.

    During a partition nothing passes. Bytes that were sent on open connections arrive after it, unless their
    sender has reset the connection. A connection that is opened during a partition never works.
    """

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.connect, args=(client,), daemon=True).start()

    def connect(self, client):
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            if not self.open.is_set():
                while client.recv(65_536):
                    pass
                client.close()
                return
            server = socket.create_connection(self.target)
            server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            client.close()
            return
        ends = [threading.Thread(target=self.pass_on, args=pair, daemon=True)
                for pair in ((client, server), (server, client))]
        for end in ends:
            end.start()
        for end in ends:
            end.join()
        client.close()
        server.close()

    def pass_on(self, source, target):
        held, has_ended = b"", False
        try:
            while not has_ended:
                data = source.recv(65_536)
                has_ended = not data
                held += data
                while not self.open.is_set():
                    readable, _, _ = select.select([source] if not has_ended else [], [], [], 0.05)
                    if readable:
                        data = source.recv(65_536)
                        has_ended = not data
                        held += data
                if held:
                    target.sendall(held)
                    held = b""
            target.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset loses what is held up.
            for each in (source, target):
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}
        self.epoch = 0
        self.appends = []

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, topic, record):
        if topic.startswith("keyed."):
            size = record[0]
            key, value = record[1:1 + size].decode(), record[1 + size:]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self.records.append(record)


class Store:
    """The platform's log."""

    def __init__(self):
        self.partitions = {}
        self.changed = threading.Condition()
        # Reads get no answer before this time, as in the second before the history is forgotten.
        self.is_deaf = False
        self.epoch_of_connections = 0
        self.server = Server(self.reply)

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, part), Partition())

    def write(self, topic, key, value):
        value = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            key = key.encode()
            self.partition(topic).add(topic, bytes([len(key)]) + key + value)
            self.changed.notify_all()

    def forget(self):
        """Drops the records of all partitions, but for the newest of each key, and cuts pending reads."""
        with self.changed:
            for partition in self.partitions.values():
                partition.first = partition.end
                partition.records = []
            self.is_deaf = False
            self.epoch_of_connections += 1
            self.changed.notify_all()

    def reply(self, method, path, query, headers, body):
        topic, part = query.get("Topic", ""), int(query.get("part", 0))
        if path == "/log-append":
            return self.append(topic, part, query, body)
        if path == "/log-read":
            return self.read(topic, part, int(query["From"]), int(query.get("WaitMs", 0)) / 1_000)
        if path == "/log-newest":
            return self.read_newest(topic, part, query.get("After", ""))
        return 404, {}

    def append(self, topic, part, query, body):
        time.sleep(0.004)
        with self.changed:
            partition = self.partition(topic, part)
            end = partition.end
            if "epoch" in query:
                epoch, sequence = int(query["epoch"]), int(query["Sequence"])
                if epoch < partition.epoch:
                    return 409, {"Reason": "fenced", "epoch": partition.epoch}
                if epoch == partition.epoch:
                    for known, offset in partition.appends:
                        if known == sequence:
                            return 200, {"Offset": offset, "End": end}
                    if partition.appends and sequence != partition.appends[-1][0] + 1:
                        return 409, {"Reason": "seq", "Sequence": partition.appends[-1][0] + 1}
            if "At" in query and int(query["At"]) != end:
                return 412, {"End": end}
            if "epoch" in query:
                if epoch > partition.epoch:
                    partition.epoch, partition.appends = epoch, []
                partition.appends = (partition.appends + [(sequence, end)])[-5:]
            while body:
                size = int.from_bytes(body[:4], "big")
                partition.add(topic, body[4:4 + size])
                body = body[4 + size:]
            self.changed.notify_all()
            return 200, {"Offset": end, "End": partition.end}

    def read(self, topic, part, start, wait):
        until = time.monotonic() + wait
        with self.changed:
            partition = self.partition(topic, part)
            connections = self.epoch_of_connections
            while self.is_deaf or (partition.end <= start and start >= partition.first):
                left = until - time.monotonic()
                if left <= 0 and not self.is_deaf:
                    break
                self.changed.wait(max(left, 0.05))
                if connections != self.epoch_of_connections:
                    return None
            if start < partition.first:
                return 410, {"First": partition.first}
            reply = partition.end.to_bytes(8, "big") + partition.first.to_bytes(8, "big")
            for record in partition.records[start - partition.first:]:
                reply += len(record).to_bytes(4, "big") + record
            return 200, reply

    def read_newest(self, topic, part, after):
        with self.changed:
            partition = self.partition(topic, part)
            keys = sorted(key for key in partition.newest if key > after)
            items = []
            for key in keys[:500]:
                offset, value = partition.newest[key]
                items.append({"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset})
            return 200, {"items": items, "HasMore": len(keys) > 500, "End": partition.end}


class Worker:
    """One life of a worker. A task takes the milliseconds that its job's spec states for its step."""

    def __init__(self, fleet, machine, name=None, kind="a"):
        self.fleet, self.machine, self.kind = fleet, machine, kind
        self.id = name or f"i-{random.getrandbits(40):010x}"
        self.reaches_store, self.state = True, "ready"
        self.born = int(time.time() * 1_000)
        self.started = time.monotonic()
        self.is_up = True
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.count = 0
        self.acknowledged = 0
        self.sequence = 0
        self.changed = threading.Condition(fleet.lock)
        self.server = None

    def listen(self, port=0):
        self.server = Server(self.reply, port, MAX_WORKER_CONNECTIONS)

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1_000) + 1_000

    def end(self, task, how):
        run = self.runs.pop(task)
        self.count += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.count, task, run["run"], how, ""])
        self.fleet.note_end(self, task, run["run"], how)
        self.changed.notify_all()

    def advance(self):
        clock = self.clock_ms()
        for task, run in list(self.runs.items()):
            age = time.monotonic() - run["at"]
            if clock > self.lease_ms:
                self.end(task, "lapsed")
            elif run["stop"] and time.monotonic() - run["stop"] >= STOP_S:
                self.end(task, "stopped")
            elif run["ms"] is not None and age * 1_000 >= run["ms"]:
                self.end(task, "failed" if run["fails"] else "done")

    def lend(self, until):
        if until is not None:
            self.lease_ms = max(self.lease_ms, min(until, self.clock_ms() + HOLD_MAX_MS))

    def refuse(self, reason):
        return 409, {"ClockMs": self.clock_ms(), "Reason": reason}

    def reply(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        with self.fleet.lock:
            if not self.is_up:
                return None
            expected = headers.get("X-Expect-Instance")
            if expected and expected != self.id:
                return 421, {}
            call = json.loads(body)
            self.advance()
            token = call.get("FencingToken", 0)
            if token < self.token:
                return self.refuse("fence")
            self.token = token
            task, run = call.get("Task"), call.get("Run")
            if path == "/run-start":
                return self.start(task, run, call)
            if path == "/run-stop":
                self.highest[task] = max(self.highest.get(task, 0), run)
                known = self.runs.get(task)
                if known and known["run"] <= run:
                    known["stop"] = known["stop"] or time.monotonic()
                return 200, {"ClockMs": self.clock_ms()}
            if path == "/pace":
                return 200, {"ClockMs": self.clock_ms()}
            if path == "/hold":
                return self.hold(call)
            return 404, {}

    def start(self, task, run, call):
        self.lend(call.get("UntilMs"))
        known = self.runs.get(task)
        if known and known["run"] == run:
            return 200, {"ClockMs": self.clock_ms()}
        if max(known["run"] if known else 0, self.highest.get(task, 0)) >= run:
            return self.refuse("old")
        if self.clock_ms() > self.lease_ms:
            return self.refuse("late")
        spec = json.loads(call["Spec"])
        step = int(task.split(".")[2])
        is_first = not any(end[1] == task for end in self.fleet.ends)
        self.runs[task] = {
            "run": run, "at": time.monotonic(), "stop": None, "ms": spec["ms"],
            "fails": step in spec.get("fails", []) or (is_first and spec.get("fails_first", False)),
        }
        self.fleet.note_start(self, task, run)
        return 200, {"ClockMs": self.clock_ms()}

    def hold(self, call):
        self.lend(call.get("UntilMs"))
        position = call.get("AckPosition", 0)
        for row in self.ended:
            if row[0] <= position:
                self.fleet.note_acknowledged(row)
        self.ended = [row for row in self.ended if row[0] > position]
        until = time.monotonic() + call.get("WaitMs", 0) / 1_000
        while not self.ended and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
            if not self.is_up:
                return None
        rows = []
        for task, run in self.runs.items():
            age = (time.monotonic() - run["at"]) * 1_000
            percent = 100 if run["ms"] is None and age > 150 else int(min(99, age * 100 / (run["ms"] or 1e9)))
            rows.append([task, run["run"], "", percent, 0])
        return 200, {"ClockMs": self.clock_ms(), "born": self.born, "Running": rows, "Ended": self.ended[:500]}

    def crash(self):
        """Ends the worker at once: what runs on it is lost and nobody listens at its address any more."""
        with self.fleet.lock:
            self.is_up = False
            self.runs = {}
            self.changed.notify_all()
        self.server.stop()


class Fleet:
    """The machines, with their workers, and the platform's calls about them."""

    def __init__(self, store, record, cpu=16_000):
        self.store, self.record, self.cpu = store, record, cpu
        self.lock = threading.RLock()
        self.machines = {}
        self.waves = {}
        self.starts, self.ends, self.acknowledged = [], [], []
        self.kinds_of_starts, self.violations = [], []
        self.on_order = lambda order: None
        self.tokens = {}
        self.server = Server(self.reply)
        threading.Thread(target=self.tick, daemon=True).start()

    def add_machine(self, name, pool, has_worker=True):
        machine = {"name": name, "pool": pool, "state": "up", "worker": None, "since": 0.0, "is_spare": not has_worker}
        self.machines[name] = machine
        if has_worker:
            self.add_worker(machine)

    def add_worker(self, machine):
        worker = Worker(self, machine)
        worker.listen()
        machine["worker"], machine["state"] = worker, "up"
        self.beat(worker)
        return worker

    def labels(self, machine, kind="a"):
        return [kind, f"r1-{1 + len(machine['name']) % 2}"]

    def capacity(self):
        return {"Cpu": self.cpu, "MemMb": 262_144, "Gpu": 0}

    def beat(self, worker):
        worker.beat_at = time.monotonic()
        if not worker.reaches_store:
            return
        worker.sequence += 1
        machine = worker.machine
        self.store.write("keyed.servers", worker.id, {
            "Backend": machine["pool"], "Address": worker.server.address, "Zone": "a", "Version": "v1", "Slots": 8,
            "State": worker.state, "ColdLeftMs": 0, "Sequence": worker.sequence, "Machine": machine["name"],
            "born": worker.born, "Capacity": self.capacity(), "Labels": self.labels(machine, worker.kind),
            "RemainingMs": 2_000 if worker.state == "draining" else 0,
        })

    def tick(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                for machine in self.machines.values():
                    worker = machine["worker"]
                    if worker is None or not worker.is_up:
                        continue
                    worker.advance()
                    if time.monotonic() - worker.beat_at >= HEARTBEAT_S:
                        self.beat(worker)

    def crash(self, machine, down_s):
        """Crashes the worker of a machine; a new one starts there after a time."""
        with self.lock:
            worker = machine["worker"]
            machine["worker"], machine["state"] = None, "down"
        self.record(f"crash of worker {worker.id} on {machine['name']}, running {sorted(worker.runs)}")
        worker.crash()
        silent = 3 * HEARTBEAT_S

        def unlist():
            self.store.write("keyed.servers", worker.id, b"")

        def restart():
            with self.lock:
                fresh = self.add_worker(machine)
            self.record(f"worker {fresh.id} starts on {machine['name']}")

        for delay, action in ((silent, unlist), (down_s, restart)):
            timer = threading.Timer(delay, action)
            timer.daemon = True
            timer.start()

    def restart_behind_cut(self, machine, kind, cut_s):
        """Cuts a worker off from the store, and restarts it at once under its id and address, as another kind."""
        with self.lock:
            old = machine["worker"]
            port = old.server.server_address[1]
            old.reaches_store = False
        old.crash()
        fresh = Worker(self, machine, old.id, kind)
        fresh.reaches_store = False
        fresh.beat_at = time.monotonic()
        with self.lock:
            machine["worker"] = fresh
            fresh.listen(port)
        self.record(f"worker {fresh.id} is cut off from the store and starts again as kind {kind}")

        def heal():
            with self.lock:
                fresh.reaches_store = True
                self.beat(fresh)
            self.record(f"worker {fresh.id} reaches the store again")

        timer = threading.Timer(cut_s, heal)
        timer.daemon = True
        timer.start()

    def replace(self, machine):
        """Ends the worker of a machine after it has drained, and starts another one there."""
        with self.lock:
            old = machine["worker"]
            if old is None or old.state != "draining":
                return
            fresh = self.add_worker(machine)
        self.store.write("keyed.servers", old.id, b"")
        self.record(f"worker {old.id} on {machine['name']} is replaced by {fresh.id}")
        old.crash()

    def drain(self, machine):
        """Reports the worker of a machine as draining."""
        with self.lock:
            if machine["worker"]:
                machine["worker"].state = "draining"
                self.beat(machine["worker"])

    def note_start(self, worker, task, run):
        self.starts.append((now(), task, run, worker.id))
        self.kinds_of_starts.append((now(), task, worker.id, worker.kind))
        self.record(f"start {task} run {run} on {worker.id}, kind {worker.kind}")

    def note_end(self, worker, task, run, how):
        self.ends.append((now(), task, run, how, worker.id))
        self.record(f"end {task} run {run} {how} on {worker.id}")

    def note_acknowledged(self, row):
        self.acknowledged.append((now(), row[1], row[2], row[3]))
        self.record(f"end of {row[1]} run {row[2]} ({row[3]}) is taken note of")

    def reply(self, method, path, query, headers, body):
        if path == "/machines":
            with self.lock:
                rows = []
                for machine in self.machines.values():
                    self.advance(machine)
                    worker = machine["worker"]
                    rows.append({
                        "Machine": machine["name"], "Pool": machine["pool"], "State": machine["state"], "Zone": "a",
                        "Labels": self.labels(machine), "Capacity": self.capacity(), "Id": worker.id if worker else "",
                    })
                return 200, {"Machines": rows, "NextToken": ""}
        if path in ("/machine-upkeep", "/machine-move"):
            return self.order(path, json.loads(body), headers)
        return 404, {}

    def advance(self, machine):
        length = UPKEEP_S if machine["state"] == "upkeep" else MOVE_S
        if machine["state"] in ("upkeep", "moving") and now() - machine["since"] >= length:
            machine["state"] = "up"
            if not machine["is_spare"]:
                self.add_worker(machine)
            self.record(f"machine {machine['name']} is up again in {machine['pool']}")

    def order(self, path, call, headers):
        holder, token = headers.get("X-Duty-Holder"), int(headers.get("X-Fencing-Token", 0))
        with self.lock:
            for machine in self.machines.values():
                self.advance(machine)
            machine = self.machines.get(call["Machine"])
            if machine is None:
                return 400, {}
            reply, change = (200, {}), None
            highest = self.tokens.get(machine["name"], (0, ""))
            if token < highest[0]:
                self.violations.append(
                    f"{now():.3f} order {path} for {machine['name']} by {holder} with token {token} after one by "
                    f"{highest[1]} with token {highest[0]}")
                self.record(f"BROKEN {self.violations[-1]}")
            self.tokens[machine["name"]] = max(highest, (token, holder))
            if path == "/machine-move":
                if machine["pool"] == call["Pool"]:
                    pass
                elif machine["state"] != "up":
                    reply = 409, {"Reason": "busy"}
                else:
                    change = "moving"
            else:
                wave = self.waves.get(call["Wave"])
                if wave is None or machine["name"] not in wave["machines"]:
                    reply = 409, {"Reason": "wave"}
                elif machine["name"] in wave["begun"]:
                    pass
                elif machine["state"] != "up":
                    reply = 409, {"Reason": "busy"}
                else:
                    change = "upkeep"
                    down = [name for name in wave["begun"] if self.machines[name]["state"] == "upkeep"]
                    wave["begun"].append(machine["name"])
                    if len(down) >= wave["cap"]:
                        self.violations.append(
                            f"{now():.3f} upkeep of {machine['name']} in wave {call['Wave']} by {holder} (token {token}) "
                            f"begins while {len(down)} machines of it are down, Cap {wave['cap']}: {down}")
                        self.record(f"BROKEN {self.violations[-1]}")
            self.record(f"{path} {call} by {holder} token {token} -> {reply[0]} {reply[1].get('Reason', '')}"
                        f"{' begins' if change else ''}")
            if change:
                worker, machine["worker"] = machine["worker"], None
                machine["state"], machine["since"] = change, now()
                if change == "moving":
                    machine["pool"] = call["Pool"]
                    machine["is_spare"] = call["Pool"] == "spare"
                if worker:
                    threading.Thread(target=worker.crash, daemon=True).start()
                    self.store.write("keyed.servers", worker.id, b"")
                self.on_order((path, call, holder, token))
            return reply

    def request_wave(self, number, machines, cap, duration_s):
        with self.lock:
            self.waves[number] = {"machines": machines, "cap": cap, "begun": []}
        self.record(f"wave {number} requested: {machines}, Cap {cap}, {duration_s} s")
        self.store.write("keyed.op", f"wave/{number}",
                         {"Wave": number, "Machines": machines, "DurationS": duration_s, "Cap": cap})


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name, store, fleet, folder, record, has_proxies=False, max_files=None):
        self.name, self.record, self.folder, self.max_files = name, record, folder, max_files
        addresses = [store.server.address, fleet.server.address]
        self.proxies = [Proxy(address) for address in addresses] if has_proxies else []
        if has_proxies:
            addresses = [proxy.address for proxy in self.proxies]
        self.front, ready, admin = free_ports(3)
        self.ready = ready
        self.settings = os.path.join(folder, f"{name}.toml")
        with open(self.settings, "w") as file:
            file.write(
                f'instance = "{name}"\nzone = "a"\nlisten = "127.0.0.1:{self.front}"\nready = "127.0.0.1:{ready}"\n'
                f'admin = "127.0.0.1:{admin}"\nlog = "{addresses[0]}"\nhosts = ["{addresses[1]}"]\n'
                f'advice = []\nshards = 24\nprocessor = 0.25\nlease_max = "{HOLD_MAX_MS}ms"\nstop = "900ms"\n'
                f'holder_lease = "3000ms"\nmaintenance = "2s"\n')
        self.process = None
        self.start()

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "PERSIMMONGATE_NODE_FILE": self.settings}
        self.process = subprocess.Popen(
            ["target/release/persimmongate-gateway"], cwd=TOP, env=environment,
            stdout=open(os.path.join(self.folder, f"{self.name}.log"), "a"), stderr=subprocess.STDOUT,
            preexec_fn=self.limit_files if self.max_files else None)
        self.record(f"{self.name} started, process {self.process.pid}")

    def limit_files(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_files, self.max_files))

    def open_files(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def send_signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def partition(self, is_cut):
        self.record(f"{self.name} is {'cut off' if is_cut else 'reached again'}")
        for proxy in self.proxies:
            proxy.open.clear() if is_cut else proxy.open.set()

    def is_ready(self):
        return request(self.ready, "GET", "/ready", timeout=2)[0] == 200


def request(port, method, path, body=None, timeout=3.0):
    """Makes one call and returns its status, or 0, and its body."""
    import http.client
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        headers = {"Host": "jobs.example", "X-Deadline-Ms": str(int(timeout * 1_000))}
        payload = None
        if body is not None:
            payload, headers["Content-Type"] = json.dumps(body), "application/json"
        connection.request(method, path, payload, headers)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text.startswith(b"{") else {}
    except OSError:
        return 0, {}
    except http.client.HTTPException:
        return 0, {}
    finally:
        connection.close()


class Site:
    """A small deployment: the store, the machines and some gateways."""

    def __init__(self, record_path, gateways, services, spare=0, attempts=2, has_proxies=False, max_files=None):
        self.record = Record(record_path)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.fleet = Fleet(self.store, self.record)
        self.services, self.attempts, self.version = services, attempts, 1
        for service, count in services.items():
            for index in range(count):
                self.fleet.add_machine(f"m-{service}-{index}", service)
        for index in range(spare):
            self.fleet.add_machine(f"m-spare-{index}", "spare", has_worker=False)
        self.configure({service: service for service in services})
        self.gateways = [
            Gateway(f"front-{i}", self.store, self.fleet, self.folder, self.record, has_proxies, max_files) for i in range(gateways)]
        self.record(f"disruption: {'on' if self.trouble else 'off'}")
        sys.excepthook = lambda kind, error, trace: self.finish(2, f"{kind.__name__}: {error}")
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.finish(2, "the script was stopped"))

    def configure(self, backends, suffix=""):
        """Writes a configuration; `backends` names the service at each path. Another suffix makes new routes."""
        routes = [{
            "Name": f"r-{route}{suffix}", "Hostname": "jobs.example", "PathPrefix": f"/{route}/", "RouteType": "non_idempotent",
            "TimeoutMs": 3_000, "TargetLatencyMs": 600, "Priority": 0, "Backend": service, "Attempts": self.attempts,
            "Stretch": 1.6,
        } for route, service in backends.items()]
        services = [{"Name": name, "RejectsOverload": False, "Spare": False} for name in self.services]
        services.append({"Name": "spare", "RejectsOverload": False, "Spare": True})
        self.version += 2
        self.store.write("keyed.op", "config",
                         {"Version": self.version, "Routes": routes, "Services": services, "Limits": {}})
        self.record(f"configuration {self.version}: {[(r['Name'], r['PathPrefix'], r['Backend']) for r in routes]}")

    def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > until:
                self.finish(2, "the gateways did not become ready")
            time.sleep(0.1)

    def call(self, method, path, body=None, attempts=6, timeout=3.0):
        """Calls a gateway, and repeats the call at others until there is a final answer."""
        for attempt in range(attempts):
            gateway = random.choice(self.gateways)
            status, answer = request(gateway.front, method, path, body, timeout)
            self.record(f"{method} {path} at {gateway.name} -> {status or 'no answer'} {answer}")
            if status not in (0, 429, 502, 503, 504):
                break
            time.sleep(0.3)
        return status, answer

    def submit(self, route, spec, steps, attempts=6, timeout=3.0):
        job = f"{random.getrandbits(64):016x}"
        text = json.dumps(spec, separators=(",", ":"))
        self.record(f"job {job} to /{route}/: Spec {text} Steps {json.dumps(steps)}")
        status, _ = self.call("POST", f"/{route}/{job}", {"Spec": text, "Steps": steps}, attempts, timeout)
        return job, 200 <= status < 300

    def state(self, route, job):
        status, answer = self.call("GET", f"/{route}/{job}")
        return answer.get("State", str(status))

    def wait_state(self, route, job, states, limit_s):
        until = time.monotonic() + limit_s
        state = ""
        while time.monotonic() < until:
            state = self.state(route, job)
            if state in states:
                return state
            time.sleep(0.3)
        return state

    def finish(self, code, text):
        self.record(f"result {code}: {text}")
        self.record.flush()
        print(f"result {code}: {text}")
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        for name in os.listdir(self.folder):
            path = os.path.join(self.folder, name)
            if keep and name.endswith(".log"):
                os.makedirs(keep, exist_ok=True)
                with open(path) as log, open(os.path.join(keep, name), "w") as copy:
                    copy.write(log.read())
            os.remove(path)
        os.rmdir(self.folder)
        sys.stdout.flush()
        os._exit(code)
