"""Starts and ends the processes of one run: the platform and the leaves of the
emulator, and the daemons. Everything listens on loopback, on free ports."""

import json
import os
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

TOKEN = "bench-operator-token"
READY_SECONDS = 40
REGIONS = ["r1", "r2", "r3"]


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


def call(method, address, path, body=None, headers=None):
    """One HTTP exchange; returns (status, parsed body or None)."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **(headers or {})})
    try:
        with urllib.request.urlopen(request, timeout=5) as reply:
            text = reply.read()
            return reply.status, json.loads(text) if text.strip() else None
    except urllib.error.HTTPError as error:
        return error.code, None


def wait_until(what, condition, seconds=READY_SECONDS):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (urllib.error.URLError, OSError, TimeoutError):
            pass
        time.sleep(0.05)
    raise RuntimeError(f"not reached in {seconds} s: {what}")


class Cluster:
    """The processes of one run. Use as a context manager."""

    def __init__(self, build, user, policy, daemons_per_region):
        self.build = build
        self.user = user
        self.policy = policy
        self.daemons_per_region = daemons_per_region
        self.directory = tempfile.TemporaryDirectory(prefix="medlarspread")
        self.processes = []
        self.daemons = {}
        self.leaves = {}
        self.platform = ""

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.directory.cleanup()

    def _path(self, name):
        return os.path.join(self.directory.name, name)

    def _spawn(self, arguments, log_name):
        with open(self._path(log_name), "w") as log:
            process = subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                       stderr=log, text=True)
        self.processes.append(process)
        return process

    def _emulator(self, *arguments):
        program = os.path.join(self.build, "emulator/medlarspread_emulator")
        return [program, *arguments]

    def _start(self):
        platform = self._spawn(self._emulator("platform"), "platform.log")
        self.platform = json.loads(platform.stdout.readline())["address"]
        self._start_leaves()
        for region in REGIONS:
            for index in range(self.daemons_per_region):
                self._start_daemon(f"{region}-d{index}", region)
        for name in self.daemons:
            wait_until(f"{name} is ready", lambda n=name: self.is_ready(n))
        self._state_targets()

    def _start_leaves(self):
        topology = self._path("topology.ini")
        with open(topology, "w") as file:
            for name, service in self.user["collections"].items():
                file.write(f"[{name}]\n")
                for key, value in service.items():
                    file.write(f"{key} = {value}\n")
        process = self._spawn(
            self._emulator("leaves", "--topology", topology, "--platform",
                           self.platform, "--threads", "4"), "leaves.log")
        count = sum(service["shards"] * service["replicas"]
                    for service in self.user["collections"].values())
        for _ in range(count):
            row = json.loads(process.stdout.readline())
            self.leaves[row["name"]] = row

    def _start_daemon(self, name, region):
        addresses = {key: free_address()
                     for key in ("callers", "operators", "peers")}
        settings = self._path(f"{name}.ini")
        with open(settings, "w") as file:
            file.write(f"[vm]\nname = {name}\nregion = {region}\n"
                       f"failure_domain = {region}a\n"
                       f"[callers]\naddress = {addresses['callers']}\n"
                       f"[operators]\naddress = {addresses['operators']}\n"
                       f"token = {TOKEN}\n"
                       f"[peers]\naddress = {addresses['peers']}\n"
                       f"[platform]\naddress = {self.platform}\n"
                       "[traffic]\nthreads = 2\n"
                       "[log]\nlevel = warning\n"
                       f"[routing]\npolicy = {self.policy}\n")
        row = {"name": name, "role": "entry", "address": addresses["peers"],
               "region": region, "failure_domain": f"{region}a",
               "state": "live"}
        call("POST", self.platform, "/control/vms", {"vms": [row]})
        program = os.path.join(self.build, "src/medlarspread")
        process = self._spawn([program, "serve", "--settings", settings],
                              f"{name}.log")
        self.daemons[name] = {"process": process, **addresses}

    def is_ready(self, name):
        status, _ = call("GET", self.daemons[name]["callers"], "/v1/ready")
        return status == 200

    def _state_targets(self):
        operators = next(iter(self.daemons.values()))["operators"]
        for name, row in self.user["classes"].items():
            targets = {key: row[key] for key in (
                "collection", "latency_ms", "percentile", "coverage",
                "coverage_percentile")}
            wait_until(f"targets of {name}", lambda n=name, t=targets: call(
                "PUT", operators, f"/v1/classes/{n}",
                {"change_id": f"bench-{n}", **t},
                {"Authorization": f"Bearer {TOKEN}"})[0] == 200)
        wait_until("all classes known everywhere", self._knows_all_classes)

    def _knows_all_classes(self):
        return all(
            len(call("GET", row["operators"], "/v1/classes", None,
                     {"Authorization": f"Bearer {TOKEN}"})[1]["classes"]) ==
            len(self.user["classes"]) for row in self.daemons.values())

    def arrivals(self):
        """Queries that have reached all leaves so far."""
        return sum(
            call("GET", row["address"],
                 "/control/runs?request_id=none")[1]["arrived"]
            for row in self.leaves.values())

    def open_connections(self):
        """Connections that are open to all leaves, as the kernel counts."""
        ports = {int(row["address"].split(":")[1])
                 for row in self.leaves.values()}
        established = 0
        with open("/proc/net/tcp") as table:
            next(table)
            for line in table:
                fields = line.split()
                port = int(fields[2].split(":")[1], 16)
                established += port in ports and fields[3] == "01"
        return established

    def cpu_seconds(self):
        """Processor time that the live daemons have used."""
        total = 0.0
        ticks = os.sysconf("SC_CLK_TCK")
        for row in self.daemons.values():
            try:
                with open(f"/proc/{row['process'].pid}/stat") as file:
                    fields = file.read().rsplit(")", 1)[1].split()
                total += (int(fields[11]) + int(fields[12])) / ticks
            except FileNotFoundError:
                pass
        return total

    def load(self, rates, seconds, seed, targets=None):
        """Starts a load run; returns its process."""
        arguments = self._emulator("load", "--json", "--seconds",
                                   str(seconds), "--seed", str(seed))
        for name in targets or self.daemons:
            arguments += ["--target", self.daemons[name]["callers"]]
        for name, rate in rates.items():
            row = self.user["classes"][name]
            arguments += ["--class", (
                f"name={name},rate={rate:.3f},"
                f"deadline_ms={row['deadline_ms']},"
                f"latency_ms={row['latency_ms']},"
                f"coverage={row['coverage']}")]
        return self._spawn(arguments, f"load-{seed}.log")
