"""Starts daemons and stand-ins on loopback and runs godwitctl."""

import json
import os
import random
import resource
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

WAIT_S = 60  # long enough for a busy machine
LIMITS = {"weavers": 12, "dyers": 6}
SLOTS = 4

CONFIG = {
    "fleet": {"name": "e2e"},
    "pools": {
        "quoting": {"service": "quoting", "min_available": 2, "hold_down_s": 1, "slots_per_vm": SLOTS},
        "dyeing": {"service": "dyeing", "min_available": 2, "hold_down_s": 1, "slots_per_vm": SLOTS},
    },
    "vms": {
        f"{pool[0]}{i}": {"pool": pool, "region": "r", "zone": "abcd"[i % 4], "rack": f"k{i}",
                          "cores": 8, "memory_mb": 8192}
        for pool in ("quoting", "dyeing") for i in range(4)
    },
    "teams": {team: {"share": 1.0, "limit": limit} for team, limit in LIMITS.items()},
    "queues": {
        "quotes": {"pool": "quoting", "idempotent": True},
        "orders": {"pool": "quoting"},
        "batches": {"pool": "dyeing", "teams": ["dyers"]},
        "notices": {"pool": "quoting", "idempotent": True, "open": True, "team": "weavers"},
    },
    "waves": {"all": {"pools": ["quoting", "dyeing"]}},
}


def wait_for(what, condition, seconds=WAIT_S):
    """Polls `condition` and returns its first true value; raises AssertionError after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"timed out after {seconds} s waiting for {what}")


def find_free_ports(count):
    """Returns the first of `count` consecutive free ports below the ephemeral range."""
    for _ in range(100):
        first = random.randrange(20000, 32000 - count)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Fleet:
    """Daemons, simulated backend servers and platform, with settings and logs in one folder.

    Leaving the context kills all processes.
    """

    def __init__(self, programs, daemons):
        self.programs = programs
        self.folder = tempfile.mkdtemp(prefix="godwitpaddle-e2e-")
        self.names = [f"n{i + 1}" for i in range(daemons)]
        first = find_free_ports(40)
        self.http = {name: f"127.0.0.1:{first + i}" for i, name in enumerate(self.names)}
        self.peer = {name: f"127.0.0.1:{first + 10 + i}" for i, name in enumerate(self.names)}
        self.platform, self.control = f"127.0.0.1:{first + 20}", f"127.0.0.1:{first + 21}"
        self.first_server = first + 22
        self.processes = {}
        self.keys = {}
        self.last_signal_at = 0.0  # monotonic time of the last kill()
        self.config = os.path.join(self.folder, "config")
        os.mkdir(self.config)
        for section, content in CONFIG.items():
            with open(os.path.join(self.config, f"{section}.json"), "w") as file:
                json.dump({section: content}, file)

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if failure[0]:
            print(f"logs: {self.folder}")

    def spawn(self, name, arguments, **options):
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log, **options)

    def start(self, name, file_bytes=None):
        """Starts a daemon. `file_bytes` limits the size of its files to simulate a full disk."""
        settings = {
            "node": name, "region": "r", "zone": "abcd"[self.names.index(name) % 4],
            "peer_address": self.peer[name], "http_address": self.http[name],
            "seeds": [self.peer[other] for other in self.names if other != name],
            "data_folder": self.data_folder(name), "voter_target": 5 if len(self.names) >= 5 else 3,
            "platform": {"adapter": "http", "address": self.platform},
        }
        file = os.path.join(self.folder, f"{name}.json")
        with open(file, "w") as out:
            json.dump(settings, out)
        options = {}
        if file_bytes:
            # Python ignores SIGXFSZ and the daemon inherits that, so a write fails with EFBIG.
            options = {"restore_signals": False, "preexec_fn": lambda: resource.setrlimit(
                resource.RLIMIT_FSIZE, (file_bytes, file_bytes))}
        self.spawn(name, [self.programs.daemon, "--config", file], **options)

    def data_folder(self, name):
        return os.path.join(self.folder, f"data-{name}")

    def kill(self, name, number=signal.SIGKILL):
        """Sends a signal to a process; after SIGKILL, waits until it has ended."""
        self.last_signal_at = time.monotonic()
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def ctl(self, *arguments, key="operator", at=None, code=0):
        """Runs godwitctl with --json and returns the JSON that it prints.

        `key` is the name of the key to use, `at` the node to call (default: any that answers) and
        `code` the expected exit code.
        """
        addresses = [self.http[at]] if at else list(self.http.values())
        environment = dict(os.environ, GODWITCTL_ADDRESS=",".join(addresses),
                           GODWITCTL_KEY=self.keys.get(key, ""))
        run = subprocess.run([self.programs.ctl, *arguments, "--json"], env=environment,
                             capture_output=True, text=True, timeout=2 * WAIT_S)
        assert run.returncode == code, (arguments, run.returncode, run.stdout, run.stderr)
        return json.loads(run.stdout) if run.stdout else None

    def set_up(self):
        """Starts all processes, forms the group and puts the configuration in force."""
        for name in self.names:
            self.start(name)
        self.spawn("servers", [
            self.programs.server, "--folder", self.config, "--first-port", str(self.first_server),
            "--control", self.control, "--gateways", ",".join(self.http.values()),
            "--slots", str(SLOTS)])
        self.spawn("platform", [self.programs.platform, "--folder", self.config, "--address",
                                self.platform, "--controls", self.control])
        first = self.ctl("bootstrap", "--timeout", "60", at="n1")
        self.keys = {"operator": first["operator_key"], "customer": first["customer_key"]}
        self.wait_for_voters()
        self.ctl("apply", self.config, "--timeout", "60")
        files = [file["file"] for file in self.ctl("review")["files"]]
        self.ctl("approve", *files, "--timeout", "60", key="customer")
        for team in LIMITS:
            self.keys[team] = self.ctl("keys", "grant", f"{team}-1", "--team", team)["key"]
        self.wait_for_service()

    def status(self):
        return self.ctl("status", "--timeout", "60")

    def voters(self):
        """Returns the replica id of each voter by node name."""
        return {member["node"]: id for id, member in self.ctl("members").items()
                if member["role"] == "voter"}

    def wait_for_voters(self):
        wanted = min(len(self.names), 5)
        return wait_for(f"{wanted} voters", lambda: len(self.voters()) == wanted and self.voters())

    def wait_for_service(self):
        def serving():
            pools = self.status()["pools"].values()
            return all(pool["available"] == pool["vms"] and pool.get("ready_slots", 0) > 0
                       for pool in pools)
        wait_for("all VMs in service", serving)

    def fetch_starts(self):
        with urllib.request.urlopen(f"http://{self.control}/starts", timeout=WAIT_S) as answer:
            return json.load(answer)
