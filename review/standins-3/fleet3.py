"""Small deployment on loopback: the project's daemons as processes, and sound stand-ins.

The daemons run with the command of deploy/system.toml. Workers, the VM platform, the operator and
the clients are stand-ins in this process. They follow PROTOCOL.md.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
COMMAND = ["target/daemon/godwitpaddled", "--fleet", "/etc/godwitpaddle/settings.toml"]
ZONES = ["za", "zb", "zc", "zd"]
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {"heartbeat_ms": 1500, "hold_max_ms": 10000, "stop_ms": 200, "lease_ms": 3000,
          "status_s": 120, "maintenance_s": 2, "move_s": 1.5, "far_factor": 3,
          "gang_timeout_ms": 3000}


class CannotRun(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---- HTTP ----

async def read_message(reader):
    """Returns the start line, the headers and the body; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = (await reader.readline()).decode("latin-1").strip()
        if not field:
            break
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin-1").split(), headers, body


class HttpServer:
    """Answers each request with what `handle` returns: (status, object), or None to break off."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.writers = set()
        self.server = None
        self.silent = False  # what arrives is lost, and nothing is answered

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                (method, path, *_), headers, body = message
                if self.silent:
                    continue
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    break
                if self.silent:
                    continue
                status, content = answer
                text = json.dumps(content).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Returns (status, object, headers). Status 0: no answer in time, or a broken connection."""
    async def exchange():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": address, "Content-Type": "application/json",
                      "Content-Length": str(len(text)), **(headers or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + text)
            message = await read_message(reader)
            if message is None:
                return 0, None, {}
            (_, status, *_), answered, content = message
            return int(status), json.loads(content) if content else None, answered
        finally:
            writer.transport.abort()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None, {}


# ---- workers ----

class Run:
    def __init__(self, task, run, spec, checkpoint):
        self.task, self.run, self.spec, self.checkpoint = task, run, spec, checkpoint
        self.began = time.monotonic()
        self.timer = None


class Worker:
    """One VM's worker. `spec` of a job is JSON: ms, cpu, mem of each task, or lasts."""

    def __init__(self, fleet, vm, service, zone, rack, host, capacity):
        self.fleet, self.vm, self.service, self.zone = fleet, vm, service, zone
        self.rack, self.host, self.capacity = rack, host, capacity
        self.lives = 0
        self.up = False
        self.id = None

    @property
    def address(self):
        return f"{self.host}:8080"

    async def start(self, same_id=False):
        if not same_id or self.id is None:
            self.id = self.fleet.next_worker_id()
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.until = 0
        self.running, self.ended, self.highest = {}, [], {}
        self.last_end = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self.host, 8080, self.handle)
        await self.server.start()
        self.up = True
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch_lease())]
        self.fleet.record(f"worker {self.id} starts on {self.vm} for {self.service}")

    async def stop(self, why):
        """The process ends at once, and everything that runs on it with it."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        await self.server.stop()
        for run in list(self.running.values()):
            self.fleet.on_end(self, run, why)
            if run.timer:
                run.timer.cancel()
        self.running = {}
        self.fleet.record(f"worker {self.id} on {self.vm} ends: {why}")

    async def go_dark(self, seconds):
        """The machine loses power: all goes silent at once, without a reset. It is back after
        `seconds` with a new worker."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.silent = True
        for run in list(self.running.values()):
            self.fleet.on_end(self, run, "crash")
            if run.timer:
                run.timer.cancel()
        self.running = {}
        self.fleet.record(f"worker {self.id} on {self.vm} goes dark")
        await asyncio.sleep(seconds)
        await self.server.stop()
        await self.start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": self.address, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": self.capacity, "labels": ["a", self.rack],
                    "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born,
                    "machine": self.vm}
            for node in self.fleet.shuffled_cores():
                status, _, _ = await call(node, "PUT", f"/instances/{self.id}", body, timeout=1.0)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(BOUNDS["heartbeat_ms"] / 1000)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.until:
                for run in list(self.running.values()):
                    self.finish(run, "lapsed")

    def finish(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.run, how, ""])
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.fleet.on_end(self, run, how)
        self.changed.set()

    def extend(self, until_ms):
        most = self.clock() + BOUNDS["hold_max_ms"]
        self.until = max(self.until, min(until_ms, most))

    def room(self, spec):
        used = {"cpu": 0, "mem": 0}
        for run in self.running.values():
            for kind in used:
                used[kind] += run.spec.get(kind, 0)
        return (used["cpu"] + spec.get("cpu", 0) <= self.capacity["cpu"] and
                used["mem"] + spec.get("mem", 0) <= self.capacity["mem_mb"])

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    async def handle(self, method, path, headers, body):
        if headers.get("godwitpaddle-expected-instance", self.id) != self.id:
            return 421, {}
        if method == "GET":
            return 200, {}
        order = json.loads(body)
        fence = order.get("fencing_token", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if path == "/run-start":
            return self.start_run(order)
        if path == "/run-stop":
            return self.stop_run(order)
        if path == "/hold":
            return await self.hold(order)
        return 404, {}

    def start_run(self, order):
        task, number = order["task"], order["run"]
        known = self.running.get(task)
        if order["until_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(order["until_ms"])
        if known and known.run == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.highest.get(task, 0) or (known and number < known.run):
            return self.refuse("old")
        spec = json.loads(order["spec"])
        if not self.room(spec):
            return self.refuse("room")
        run = Run(task, number, spec, order.get("checkpoint", ""))
        self.running[task] = run
        self.fleet.on_start(self, run)
        if spec.get("gang"):
            self.fleet.gather(self, run)
        elif not spec.get("lasts"):
            run.timer = asyncio.get_running_loop().call_later(
                spec["ms"] / 1000, lambda: self.finish(run, "done"))
        return 200, {"clock_ms": self.clock()}

    def cut_off(self, run):
        """A run of a gang ends with the run of another member."""
        if run.timer:
            run.timer.cancel()
        self.finish(run, "broken")

    def stop_run(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get(task)
        if run and run.run == number:
            asyncio.get_running_loop().call_later(0.05, lambda: self.finish(run, "stopped"))
        return 200, {"clock_ms": self.clock()}

    async def hold(self, order):
        if "until_ms" in order:
            self.extend(order["until_ms"])
        self.ended = [end for end in self.ended if end[0] > order.get("ack_cursor", 0)]
        wait = order.get("wait_ms", 0) / 1000
        if wait and not self.ended:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.run, run.checkpoint,
                    100 if time.monotonic() - run.began > 0.3 else 0]
                   for run in self.running.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "finished_runs": self.ended[:500]}


# ---- the VM platform ----

class Platform:
    def __init__(self, fleet, host):
        self.fleet, self.address = fleet, f"{host}:8344"
        self.server = HttpServer(host, 8344, self.handle)
        self.state = {}  # of VMs that are not up

    async def handle(self, method, path, _headers, body):
        if path.startswith("/machines"):
            return 200, {"machines": [self.describe(one) for one in self.fleet.workers.values()],
                         "next_token": ""}
        order = json.loads(body)
        answer = self.move(order) if path == "/machine-move" else (409, {"reason": "wave"})
        self.fleet.record(f"platform {path} {order}: {answer}")
        return answer

    def describe(self, worker):
        return {"machine": worker.vm, "pool": worker.service,
                "state": "moving" if worker.vm in self.state else "up", "zone": worker.zone,
                "labels": ["a", worker.rack], "capacity": worker.capacity, "id": worker.id}

    def move(self, order):
        worker = self.fleet.workers.get(order["machine"])
        if worker is None:
            return 400, {}
        if self.state.get(worker.vm) == order["pool"] or worker.service == order["pool"]:
            return 200, {}
        if worker.vm in self.state or not worker.up:
            return 409, {"reason": "busy"}
        self.state[worker.vm] = order["pool"]
        self.fleet.moves = asyncio.create_task(self.take_to(worker, order["pool"]))
        return 200, {}

    async def take_to(self, worker, pool):
        await worker.stop("move")
        await asyncio.sleep(BOUNDS["move_s"])
        worker.service = pool
        await worker.start()
        del self.state[worker.vm]


# ---- the deployment ----

class Fleet:
    """The daemons and the stand-ins. Leaving the context ends all processes."""

    def __init__(self, case, cores=5, edges=2, services=(("quoting", 8), ("dyeworks", 8))):
        self.case = case
        self.record = Record(os.path.join(case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="godwitpaddle-review-")
        self.processes = {}
        self.last_worker = 0
        self.gangs = {}  # (step, run): members that are present
        self.starts, self.ends = [], []  # (time, task, run, worker id[, how])
        self.prefix = self.find_free_hosts()
        self.cores = {f"core-{i + 1}": f"{self.prefix}.{10 + i}" for i in range(cores)}
        self.edges = {f"edge-{i + 1}": f"{self.prefix}.{30 + i}" for i in range(edges)}
        self.platform = Platform(self, f"{self.prefix}.5")
        self.workers = {}
        self.services = [name for name, _ in services]
        number = 0
        for name, count in services:
            for i in range(count):
                vm = f"m-{number:04x}"
                self.workers[vm] = Worker(self, vm, name, ZONES[number % 4], f"r{number // 4}",
                                          f"{self.prefix}.{100 + number}",
                                          {"cpu": 64000, "mem_mb": 131072, "gpu": 0})
                number += 1

    def next_worker_id(self):
        self.last_worker += random.randrange(1, 1 << 16)
        return f"i-{self.last_worker:08x}"

    @staticmethod
    def find_free_hosts():
        for _ in range(50):
            prefix = f"127.{random.randrange(16, 120)}.{random.randrange(1, 250)}"
            try:
                for port in (7000, 7001, 8080, 8340, 8343, 8344, 8345):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.10", port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free ports")

    async def __aenter__(self):
        if not os.access(os.path.join(ROOT, COMMAND[0]), os.X_OK):
            raise CannotRun(f"{COMMAND[0]} is missing: run the build of deploy/system.toml")
        return self

    async def __aexit__(self, *_):
        for worker in self.workers.values():
            if worker.up:
                worker.up = False
                for task in worker.tasks:
                    task.cancel()
                await worker.server.stop()
        await self.platform.server.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def settings_of(self, name):
        core = name in self.cores
        ip = self.cores.get(name) or self.edges[name]
        settings = {"node": name, "role": "core" if core else "edge",
                    "zone": ZONES[(int(name.rsplit("-", 1)[1]) - 1) % 4], "zones": ZONES, "ip": ip,
                    "ports": [7000, 7015],
                    "seeds": [f"{host}:8345" for host in list(self.cores.values())[:3]],
                    "forms_group": not os.path.isdir(self.data_folder(name)),
                    "platform_address": self.platform.address, "vm_orders_per_s": 64.0,
                    "timing": {"heartbeat_ms": BOUNDS["heartbeat_ms"],
                               "longest_lease_ms": BOUNDS["hold_max_ms"],
                               "stop_ms": BOUNDS["stop_ms"], "holder_lease_ms": BOUNDS["lease_ms"],
                               "keep_ended_s": BOUNDS["status_s"],
                               "maintenance_s": BOUNDS["maintenance_s"],
                               "far_factor": BOUNDS["far_factor"], "move_s": BOUNDS["move_s"]}}
        if core:
            settings |= {"data_folder": self.data_folder(name), "control_address": f"{ip}:8345"}
        else:
            settings |= {"client_address": f"{ip}:8340", "readiness_address": f"{ip}:8343"}
        return settings

    def data_folder(self, name):
        return os.path.join(self.folder, f"data-{name}")

    def start_process(self, name):
        file = os.path.join(self.folder, f"{name}.settings")
        settings = self.settings_of(name)
        with open(file, "w") as out:
            json.dump(settings, out)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                COMMAND, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={**environment, "GODWITPADDLE_NODE_FILE": file})
        self.record(f"process {name} starts")

    def signal(self, name, number):
        self.record(f"process {name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def leader(self):
        """The core node that began to lead last, by the logs."""
        began = {}
        for name in self.cores:
            with open(os.path.join(self.folder, f"{name}.log"), errors="replace") as log:
                for line in log:
                    if "event=leadership_began" in line:
                        began[name] = int(line.split(" term=")[1].split()[0])
        if not began:
            raise CannotRun("no core node leads")
        return max(began, key=began.get)

    def shuffled_cores(self):
        nodes = [f"{host}:8345" for host in self.cores.values()]
        random.shuffle(nodes)
        return nodes

    def edge(self, number=0):
        return f"{list(self.edges.values())[number]}:8340"

    async def start(self, manifest):
        """Starts everything and puts the manifest in force."""
        await self.platform.server.start()
        for name in [*self.cores, *self.edges]:
            self.start_process(name)
        await self.configure(manifest, 30)
        for worker in self.workers.values():
            await worker.start()
        await self.until_ready(30)
        await asyncio.sleep(3)  # the leader hears of all workers

    async def until_ready(self, seconds):
        end = self.record.now() + seconds
        while self.record.now() < end:
            answers = [await call(f"{host}:8343", "GET", "/ready", timeout=1.0)
                       for host in self.edges.values()]
            if all(status == 200 for status, _, _ in answers):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the edges do not become ready")

    async def operate(self, method, path, body=None, seconds=10):
        """Sends an order of the operator, to one node after the other, until it is acknowledged."""
        end = self.record.now() + seconds
        while self.record.now() < end:
            for node in self.shuffled_cores():
                status, answer, _ = await call(node, method, path, body, timeout=1.0)
                if 200 <= status < 300:
                    self.record(f"operator {method} {path} at {node}: {status}")
                    return answer
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"{method} {path}: {status} {answer}")
            await asyncio.sleep(0.2)
        raise CannotRun(f"{method} {path}: no acknowledgement")

    async def configure(self, manifest, seconds=10):
        await self.operate("PUT", "/config", manifest, seconds)

    async def client(self, method, path, body=None, edge=0, timeout=3.0, key="key-one",
                     host="jobs.example"):
        """A call of a client, with the tenant's key."""
        sent = self.record.now()
        status, answer, _ = await call(self.edge(edge), method, path, body, {
            "Host": host, "Authorization": f"Token {key}",
            "Godwitpaddle-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.record(f"client {method} {path} by edge {edge + 1}, sent at {sent:.3f}: "
                    f"{status or 'no answer'} {answer}")
        return status, answer

    async def submit(self, path, body, seconds=10):
        """Hands a job in, as often as it needs."""
        end = self.record.now() + seconds
        while self.record.now() < end:
            for edge in range(len(self.edges)):
                status, _ = await self.client("POST", path, body, edge)
                if 200 <= status < 300:
                    return
            await asyncio.sleep(0.5)
        raise CannotRun("a job was not accepted")

    # ---- what workers and VMs see ----

    def on_start(self, worker, run):
        self.starts.append((self.record.now(), run.task, run.run, worker.vm))
        self.record(f"run {run.task}/{run.run} starts on {worker.vm}")

    def gather(self, worker, run):
        """The members of a gang work once all of one run are present, and end `done` together."""
        loop = asyncio.get_running_loop()
        key = (run.task.rpartition(".")[0], run.run)
        members = self.gangs.setdefault(key, [])
        members.append((worker, run))
        if len(members) < run.spec["gang"]:
            run.timer = loop.call_later(BOUNDS["gang_timeout_ms"] / 1000,
                                        lambda: worker.finish(run, "alone"))
            return
        for _, one in members:
            if one.timer:
                one.timer.cancel()
            one.timer = None
        self.record(f"gang {key[0]}/{key[1]} is complete")
        loop.call_later(run.spec["ms"] / 1000, lambda: self.end_gang(key))

    def end_gang(self, key):
        members = self.gangs.pop(key, [])
        present = all(one.running.get(run.task) is run for one, run in members)
        for one, run in members:
            if present:
                one.finish(run, "done")
            else:
                one.cut_off(run)

    def on_end(self, worker, run, how):
        self.ends.append((self.record.now(), run.task, run.run, worker.vm, how))
        self.record(f"run {run.task}/{run.run} ends on {worker.vm}: {how}")

    def holder(self, task):
        """The worker on which the task runs; None if there is none."""
        for worker in self.workers.values():
            if worker.up and task in worker.running:
                return worker
        return None

    async def wait(self, condition, seconds):
        end = self.record.now() + seconds
        while self.record.now() < end:
            if condition():
                return True
            await asyncio.sleep(0.01)
        return False


def make_manifest(version, routes, services=("quoting", "dyeworks"), attempts=3):
    """`routes`: (name, prefix, service) of each."""
    return {
        "version": version,
        "routes": [{"name": name, "host": "jobs.example", "path_prefix": prefix,
                    "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
                    "priority": 0, "service": service, "attempts": attempts, "stretch": 1.6,
                    "public": False} for name, prefix, service in routes],
        "services": [{"name": name, "health_path": "/health", "max_connections": 64,
                      "protocol": "h1", "tls": False, "enforces_capacity": True, "standby": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "one", "api_keys": ["key-one"], "priority": 1, "weight": 36,
                     "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]}


def make_job(count=1, ms=500, cpu=2000, mem=1024, steps=1, **fields):
    """A job of `steps` steps, each after the one before it."""
    spec = {"ms": ms, "cpu": cpu, "mem": mem}
    if fields.get("long_running"):
        spec["lasts"] = True
    if fields.get("gang"):
        spec["gang"] = count
    step = {"count": count, "cpu": cpu, "mem_mb": mem, "estimate_ms": ms, **fields}
    return {"spec": json.dumps(spec),
            "steps": [{**step, **({"depends_on": [i - 1]} if i else {})} for i in range(steps)]}


def new_id():
    return "%016x" % random.getrandbits(64)


def main(case, play):
    """Plays a case, as run.sh tells by TROUBLE, and exits with its result. `play(fleet, trouble)` returns HELD or BROKEN."""
    folder = os.path.dirname(os.path.abspath(case))
    if sys.argv[1:] not in (["--with-trouble"], ["--without-trouble"]):
        print("usage: run.sh starts a case, with TROUBLE=0 without its disruption")
        sys.exit(NOT_RUN)
    trouble = sys.argv[1] == "--with-trouble"

    async def run():
        async with Fleet(folder) as fleet:
            try:
                result = await asyncio.wait_for(play(fleet, trouble), 110)
            except (CannotRun, asyncio.TimeoutError) as error:
                fleet.record(f"the case could not run: {error or 'out of time'}")
                result = NOT_RUN
            fleet.record(f"result {result}")
            return result

    try:
        result = asyncio.run(run())
    except CannotRun as error:
        print(f"the case could not run: {error}")
        result = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    sys.exit(result)
