"""The operator names versions 2 and 3; the first write of 2 is done late, after 3.

All processes of the system are then killed once, and start again.
"""

import http.client
import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "fleet2"))

from harness2 import BROKEN, HELD, NOT_RUN, build_headers, call, run

FOLDER = Path(__file__).resolve().parent
#: SYSTEM.md, kvmfs-fold: 6 servers, `versionMs` 8,000, `contactMs` 3,000.
N_ENGINES = 6
VERSION_S = 8.0
CONTACT_S = 3.0
#: `fleetbench kinds`, `platform_lost`: "late (done 1 to 6 s later)".
LATE_S = 4.0
#: The operator repeats a write that got no answer for so long.
OPERATOR_TIMEOUT_S = 1.2
#: The machines are away for so long; `herd_kill` of the site has 2.0.
DOWN_S = 2.0
#: Time of watching after the bound.
WATCH_S = 5.0
_ENGINE = {
    "slots": 64,
    "kvCapacityTokens": 45_089,
    "kvTokenBytes": 163_840,
    "linkMbps": 260_000,
    "maxConcurrency": 96,
    "managed": True,
    "models": [{"name": "m0"}],
}
_ROUTE = {
    "name": "prompt",
    "prefix": "/prompt/",
    "routeType": "streaming",
    "service": "llm",
    "sticky": True,
    "resumable": True,
}


class Clients:
    """Clients that send short prompts to all nodes until they are stopped."""

    def __init__(self, nodes):
        self.ports = [node.ports["front"] for node in nodes]
        self.sent_at = {}
        self.statuses = {}
        self._has_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(place,), daemon=True)
            for place in range(len(nodes))
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Send no more prompts."""
        self._has_stopped.set()
        for thread in self._threads:
            thread.join(10)

    def _send(self, place):
        number = 0
        while not self._has_stopped.wait(0.1):
            number += 1
            request_id = f"prompt-{place}-{number}"
            headers = build_headers(request_id, 5_000)
            headers |= {"X-Model": "m0", "X-Token-Usage": "50,10"}
            headers["X-Prompt-Prefix"] = (
                f"{4096 + number % 7:x}:40,{65536 + number:x}:10"
            )
            self.sent_at[request_id] = time.time()
            try:
                status = call(self.ports[place], "POST", "/prompt/a", headers, b"x", 6)[
                    0
                ]
            except (OSError, http.client.HTTPException) as error:
                status = type(error).__name__
            self.statuses[request_id] = status


def start_store(case):
    """Start the store that may do a write late."""
    record = Path(case.files.name) / "store.jsonl"
    command = [sys.executable, str(FOLDER / "store.py"), "store", str(record)]
    process = case.launch("store", command)
    case.store_port = case._wait_for_ports(process, record, 1)["store"]


def start_engines(case):
    """Start the engines, which write their entries by themselves."""
    case.server_record = Path(case.files.name) / "engines.jsonl"
    script = FOLDER.parents[0] / "fleet2" / "engines2.py"
    arguments = [str(case.server_record), str(N_ENGINES), str(case.store_port)]
    process = case.launch("engines", [sys.executable, str(script), *arguments])
    case._wait_for_ports(process, case.server_record, N_ENGINES)


def name_version(case, version):
    """Have the operator name a version of the model."""
    case.put("op", "version/m0", {"model": "m0", "version": version})
    case.note(f"the store has acknowledged version {version}")
    return time.time()


def name_version_late(case, version):
    """Have the operator name a version; no answer comes, and the write is done late."""
    value = {"model": "m0", "version": version}
    row = {"table": "op", "key": "version/m0", "value": value, "late_s": LATE_S}
    case.note(f"the operator writes version {version}; the answer is lost")
    started_at = time.time()
    try:
        body = json.dumps(row).encode()
        call(case.store_port, "POST", "/_put", {}, body, OPERATOR_TIMEOUT_S)
    except OSError:
        pass
    return started_at + LATE_S


def list_named(case, name):
    """Return the versions that a node says it has learned of."""
    lines = [
        line for line in case.read_log(name).splitlines() if "weights_named" in line
    ]
    return [json.loads(line)["version"] for line in lines]


def play(case):
    """Return whether requests began on a version that had been replaced for long."""
    start_store(case)
    start_engines(case)
    services = [{"name": "llm", "maxConnections": 370, "engine": _ENGINE}]
    case.put_configuration([_ROUTE], services)
    name_version(case, 1)
    nodes = {name: case.start_node(name) for name in ("n1", "n2")}
    clients = Clients(nodes.values())
    time.sleep(CONTACT_S)
    late_at = 0.0
    if case.has_trouble:
        late_at = name_version_late(case, 2)
    name_version(case, 2)
    time.sleep(OPERATOR_TIMEOUT_S)
    acknowledged_at = name_version(case, 3)
    time.sleep(0.6)
    for name in nodes:
        named = list_named(case, name)
        case.note(f"{name} has learned of these versions: {named}")
        if 3 not in named:
            return NOT_RUN
    for node in nodes.values():
        node.kill()
        node.wait()
    killed_at = time.time()
    case.note("all processes of the system have been killed")
    time.sleep(max(0.0, killed_at + DOWN_S - time.time()))
    for name, node in nodes.items():
        case.start_node(name, ports=node.ports.values())
    started_at = time.time()
    case.note("all processes of the system are ready again")
    for name in nodes:
        case.note(f"{name} has learned of these versions: {list_named(case, name)}")
    # The core is stable, and the machines are in touch, CONTACT_S after these.
    calm_at = max(late_at, started_at) + CONTACT_S
    judged_from = max(acknowledged_at, calm_at) + VERSION_S
    time.sleep(max(0.0, judged_from + WATCH_S - time.time()))
    clients.stop()
    lines = case.read_servers()
    for line in lines:
        if "order" in line:
            case.note(f"order: {line}")
    runs = [line for line in lines if "ran" in line]
    judged = [
        line for line in runs if clients.sent_at.get(line["ran"], 0.0) > judged_from
    ]
    counts = {}
    for line in judged:
        counts[line["version"]] = counts.get(line["version"], 0) + 1
        sent_s = clients.sent_at[line["ran"]] - acknowledged_at
        case.note(
            f"{line['ran']} began on version {line['version']} at {line['server']}, "
            f"sent {sent_s:.1f} s after version 3 was acknowledged, "
            f"answered {clients.statuses.get(line['ran'])}"
        )
    case.note(f"runs by version, of the requests judged: {counts}")
    if not judged:
        return NOT_RUN
    return BROKEN if any(version < 3 for version in counts) else HELD


if __name__ == "__main__":
    run(FOLDER, play)
