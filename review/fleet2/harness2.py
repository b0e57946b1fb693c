"""Starts a store, servers and nodes on loopback addresses for the scripts beside it.

A node is started with the command of ``deploy/system.toml``, and its settings file is
filled in from ``deploy/settings.ini`` as DEPLOY.md says. Only the standard library is
used. A program ends with :data:`BROKEN`, :data:`HELD` or :data:`NOT_RUN`; ``run.sh``
turns them into its exit codes, so that no other fault looks like a broken rule.
"""

import http.client
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

BROKEN, HELD, NOT_RUN = 11, 0, 2

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent / "standins2.py"
HOST = "site.example"
KEY = "key-of-acme"
#: Limits of a front machine of the site kvmfs-fold.
SMALL_MACHINE = {
    "memoryMb": 150,
    "cpuShare": 0.537,
    "cores": 2,
    "maxFds": 4100,
    "linkMbps": 1000.0,
}
_WATCH_INTERVAL_S = 0.05
_RESTART_DELAY_S = 0.5
#: RULES.md, Fault: processes on two machines at least end three times.
N_MACHINES = 2
N_ENDS = 3
_BOUNDS = {
    "graceS": 8,
    "leaseMs": 3000,
    "versionMs": 8000,
    "configApplyMs": 2000,
    "drainMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 56,
    "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case couldn't be run."""


def find_free_ports(n_ports):
    """Return ports that nothing listens on at present."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def render_template(text, fields):
    """Fill in a template with values and sections, as DEPLOY.md describes them."""

    def look_up(name, values):
        for part in name.split("."):
            if isinstance(values, list):
                values = values[int(part)]
            else:
                values = values.get(part, "") if isinstance(values, dict) else ""
        return values

    def fill(part, values):
        return re.sub(
            r"\{\{([\w.]+)\}\}", lambda found: str(look_up(found[1], values)), part
        )

    def fill_section(found):
        entries = look_up(found[1], fields)
        lines = [
            found[2].replace("{{@}}", key).replace("{{.}}", value)
            for key, value in entries.items()
        ]
        return "".join(lines)

    text = re.sub(
        r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", fill_section, text, flags=re.DOTALL
    )
    return fill(text, fields)


class Case:
    """The processes and the record of one script."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_path = self.folder / "record.txt"
        self.record_path.write_text("")
        self.files = tempfile.TemporaryDirectory()
        self.processes = []
        self.started_at = time.time()

    def note(self, text):
        """Write a line to the record and to the output."""
        line = f"{time.time() - self.started_at:8.3f} {text}"
        with self.record_path.open("a") as record:
            record.write(line + "\n")
        print(line, flush=True)

    def launch(self, name, command, environment=None):
        """Start a process whose output goes to a temporary file."""
        base = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with (Path(self.files.name) / f"{name}.log").open("wb") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**base, **(environment or {})},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.processes.append(process)
        return process

    def read_log(self, name):
        """Return what a process has written."""
        return (Path(self.files.name) / f"{name}.log").read_text(errors="replace")

    def start_store(self):
        """Start the store."""
        record = Path(self.files.name) / "store.jsonl"
        process = self.launch(
            "store", [sys.executable, str(STANDINS), "store", str(record)]
        )
        self.store_port = self._wait_for_ports(process, record, 1)["store"]

    def start_servers(self, n_servers, service="svc", script=STANDINS):
        """Start servers and write their entries."""
        for name, port in self.launch_servers(n_servers, script).items():
            self.put_server(name, port, service)

    def launch_servers(self, n_servers, script=STANDINS):
        """Start servers, and return their ports by their names."""
        self.server_record = Path(self.files.name) / "servers.jsonl"
        command = [sys.executable, str(script), "servers", str(self.server_record)]
        process = self.launch("servers", [*command, str(n_servers)])
        return self._wait_for_ports(process, self.server_record, n_servers)

    def put_server(self, name, port, service, models=()):
        """Write a server's entry as the server would."""
        entry = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "z1",
            "version": 1,
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": int(self.started_at * 1000),
            "models": list(models),
        }
        self.put("servers", name, entry)

    def put(self, table, key, value):
        """Write a row of the operator or of a server."""
        body = json.dumps({"table": table, "key": key, "value": value}).encode()
        status, _, _ = call(self.store_port, "POST", "/_put", {}, body)
        if status != 200:
            raise CannotRun(f"the store answered {status}")

    def put_configuration(self, routes, services=None, limits=None):
        """Write a configuration with one tenant."""
        document = {
            "version": 1,
            "routes": [
                {
                    "hostname": HOST,
                    "timeoutMs": 15000,
                    "targetLatencyMs": 300,
                    "service": "svc",
                    "maxAttempts": 2,
                    **route,
                }
                for route in routes
            ],
            "services": services or [{"name": "svc", "maxConnections": 370}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 10000,
                "idleTimeoutMs": 15000,
                **(limits or {}),
            },
            "tenants": [{"name": "acme", "apiKeys": [KEY]}],
        }
        self.put("op", "config", document)

    def start_node(self, name="n1", machine=None, ports=None):
        """Start a node with the deploy file's command, and wait until it is ready.

        :param ports: the ports of a node that is started again.
        """
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        ports = list(ports or find_free_ports(5))
        fields = {
            "nodeName": name,
            "zone": "z1",
            "ip": "127.0.0.1",
            "zones": {"z1": "r1"},
            "listen": {
                "front": f"127.0.0.1:{ports[0]}",
                "readyAddr": f"127.0.0.1:{ports[1]}",
                "directory": f"127.0.0.1:{ports[2]}",
            },
            "portRange": [str(ports[3]), str(ports[4])],
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
            "bounds": _BOUNDS,
            "limits": {**SMALL_MACHINE, **(machine or {})},
        }
        settings = Path(self.files.name) / f"{name}.ini"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(render_template(template, fields))
        environment = {
            "APRICOTLIFT_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        node = self.launch(name, role["run"].split(), environment)
        node.ports = dict(
            zip(("front", "ready", "directory", "peers", "metrics"), ports, strict=True)
        )
        node.settings = settings
        until = time.time() + 30
        while time.time() < until:
            try:
                if call(node.ports["ready"], "GET", "/ready", {}, b"", 1.0)[0] == 200:
                    return node
            except OSError:
                time.sleep(0.1)
            if node.poll() is not None:
                break
        raise CannotRun(f"{name} didn't become ready: {self.read_log(name)[-2000:]}")

    def _wait_for_ports(self, process, record, n_listeners):
        """Return the ports of a stand-in's listeners by their names."""
        until = time.time() + 20
        while time.time() < until and process.poll() is None:
            lines = read_record(record)
            ports = {
                line["listening"]: line["port"] for line in lines if "listening" in line
            }
            if len(ports) == n_listeners:
                return ports
            time.sleep(0.05)
        raise CannotRun("a stand-in didn't start")

    def read_servers(self):
        """Return what the servers have recorded since they listen."""
        lines = read_record(self.server_record)
        return [line for line in lines if "listening" not in line]

    def judge_ends(self, machines):
        """Return whether processes ended as often as the rule says."""
        for machine in machines:
            machine.stop_watching()
            self.note(
                f"{machine.n_ends} ends; the process held {machine.peak_mb:.0f} MB at "
                f"most, its machine has {machine.limit_mb} MB"
            )
        n_machines = sum(machine.n_ends >= N_ENDS for machine in machines)
        return BROKEN if n_machines >= N_MACHINES else HELD

    def end(self):
        """End all processes that this script started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.files.cleanup()


def read_record(path):
    """Return the complete lines of a stand-in's record."""
    if not path.exists():
        return []
    lines = path.read_text().split("\n")[:-1]
    return [json.loads(line) for line in lines]


def call(port, method, target, headers, body=b"", timeout_s=10.0):
    """Send one request on a new connection and return status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Machine:
    """A machine whose process is killed above its memory, and started again.

    That is what DEPLOY.md says of the platform: "A process that exceeds `memoryMb` is
    killed" and "A process that exits or is killed is restarted after a short delay".
    """

    def __init__(self, case, name):
        self.limit_mb = SMALL_MACHINE["memoryMb"]
        self.n_ends = 0
        self.peak_mb = 0.0
        self._case = case
        self._name = name
        self._has_stopped = threading.Event()
        self.node = case.start_node(name)
        self.ports = self.node.ports
        self._is_ready = threading.Event()
        self._is_ready.set()
        threading.Thread(target=self._watch, daemon=True).start()

    def wait_until_ready(self):
        """Wait until the process runs and is ready."""
        if not self._is_ready.wait(40):
            raise CannotRun(f"{self._name} wasn't started again")

    def stop_watching(self):
        """Leave the process alone from now on."""
        self._has_stopped.set()

    def _watch(self):
        while not self._has_stopped.wait(_WATCH_INTERVAL_S):
            used_mb = 0.0
            if self.node.poll() is None:
                used_mb = read_memory_mb(self.node.pid)[0]
                self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.limit_mb or self.node.poll() is not None:
                self._restart(used_mb)

    def _restart(self, used_mb):
        self.n_ends += 1
        self._is_ready.clear()
        self._case.note(
            f"{self._name} ends for the {self.n_ends}. time: it holds {used_mb:.0f} MB "
            f"of {self.limit_mb} MB"
        )
        self.node.kill()
        self.node.wait()
        time.sleep(_RESTART_DELAY_S)
        self.node = self._case.start_node(self._name, ports=self.ports.values())
        self._is_ready.set()


def build_headers(request_id, deadline_ms=5000, **more):
    """Return the headers of an ordinary client."""
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Key": KEY,
    }
    return {**headers, **more}


def read_memory_mb(pid):
    """Return the resident memory of a process now and at most, in MB of 2**20 bytes."""
    values = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            values[name] = int(value.split()[0]) / 1024
    return values.get("VmRSS", 0.0), values.get("VmHWM", 0.0)


def run(folder, play):
    """Run a case and exit with its verdict."""
    case = Case(folder)
    verdict = NOT_RUN
    try:
        verdict = play(case)
    except (CannotRun, OSError) as error:
        case.note(f"could not run: {error}")
    finally:
        case.end()
    words = {BROKEN: "the rule was broken", HELD: "the rule held"}
    case.note(f"verdict: {words.get(verdict, 'the case could not run')}")
    sys.exit(verdict)
