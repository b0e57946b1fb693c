"""A server leaves without notice, soon after the store answers one machine again.

Its entry is removed. It goes on to serve for `drainMs` and some time longer, and exits.
"""

import http.client
import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "fleet2"))

from harness2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    build_headers,
    call,
    read_record,
    run,
)

FOLDER = Path(__file__).resolve().parent
#: SYSTEM.md, kvmfs-fold: `contactMs` 3,000, `drainMs` 2,000.
CONTACT_S = 3.0
DRAIN_S = 2.0
#: The store is silent for one machine for so long at least, and at most. The site has
#: 9 s.
SILENT_MIN_S = 4.0
SILENT_MAX_S = 9.0
#: The silence ends while a call waits that came at most so long before.
FRESH_S = 0.1
#: The server leaves so long after that, as the store is stable in any reading.
LEAVES_AFTER_S = 3.05
#: The server exits so long after its drain time.
LONGER_S = 0.6
N_STAYING = 2
N_CLIENTS_PER_NODE = 8
PAUSE_S = 0.06


class Clients:
    """Clients that send orders to one node until they are stopped."""

    def __init__(self, node, name):
        self.name = name
        self.sent_at = {}
        self.statuses = {}
        self._has_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(node.ports["front"], number))
            for number in range(N_CLIENTS_PER_NODE)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Send no more orders."""
        self._has_stopped.set()
        for thread in self._threads:
            thread.join(10)

    def _send(self, port, place):
        number = 0
        while not self._has_stopped.wait(PAUSE_S):
            number += 1
            request_id = f"order-{self.name}-{place}-{number}"
            self.sent_at[request_id] = time.time()
            headers = build_headers(request_id, 1_500)
            try:
                status = call(port, "POST", "/order/a", headers, b"one map", 3)[0]
            except (OSError, http.client.HTTPException) as error:
                status = type(error).__name__
            self.statuses[request_id] = status


def launch(case, name, script, arguments, n_listeners):
    """Start a stand-in, and return its process, ports and record."""
    record = Path(case.files.name) / f"{name}.jsonl"
    command = [sys.executable, str(script), arguments[0], str(record)]
    process = case.launch(name, [*command, *arguments[1:]])
    ports = case._wait_for_ports(process, record, n_listeners)
    return process, ports, record


def set_silence(case, is_silent):
    """Begin or end the silence of the store at its second address."""
    body = json.dumps({"is_silent": is_silent}).encode()
    call(case.store_port, "POST", "/_silent", {}, body)
    words = "doesn't answer n2 any more" if is_silent else "answers n2 again"
    case.note(f"the store {words}")
    return time.time()


def wait_for_call(case, until):
    """Wait until n2 has just asked the store for changes of the servers' table."""
    while time.time() < until:
        answer = call(case.store_port, "GET", "/_waiting/servers", {})[2]
        if json.loads(answer)["waiting_s"] < FRESH_S:
            return
        time.sleep(0.02)


def remove_entry(case, name):
    """Remove a server's entry, and return when the store has done it."""
    body = json.dumps({"table": "servers", "key": name, "value": None}).encode()
    answer = call(case.store_port, "POST", "/_put", {}, body)[2]
    return json.loads(answer)["done_at"]


def play(case):
    """Return whether the server got requests later than its drain time."""
    store = FOLDER.parent / "fleet2" / "twoaddresses2.py"
    _, stores, _ = launch(case, "store", store, ["store"], 2)
    case.store_port = stores["first"]
    servers = FOLDER / "servers.py"
    staying = ["servers", str(N_STAYING)]
    _, ports, _ = launch(case, "staying", servers, staying, N_STAYING)
    for name, port in ports.items():
        case.put_server(name, port, "svc")
    leaver, ports, record = launch(case, "leaving", servers, ["servers", "1"], 1)
    case.put_server("leaver", ports["i-1"], "svc")
    route = {
        "name": "order",
        "prefix": "/order/",
        "routeType": "non_idempotent",
        "timeoutMs": 800,
        "maxAttempts": 1,
    }
    case.put_configuration([route], [{"name": "svc", "maxConnections": 110}])
    nodes = {"n1": case.start_node("n1")}
    case.store_port = stores["second"]
    nodes["n2"] = case.start_node("n2")
    case.store_port = stores["first"]
    clients = [Clients(node, name) for name, node in nodes.items()]
    time.sleep(CONTACT_S + 1.0)
    answered_from = silent_from = time.time()
    if case.has_trouble:
        silent_from = set_silence(case, True)
    time.sleep(SILENT_MIN_S)
    if case.has_trouble:
        wait_for_call(case, silent_from + SILENT_MAX_S)
        answered_from = set_silence(case, False)
        case.note(f"that is {answered_from - silent_from:.2f} s after it fell silent")
    time.sleep(LEAVES_AFTER_S)
    left_at = remove_entry(case, "leaver")
    case.note("the store has acknowledged that the entry of the server is removed")
    time.sleep(max(0.0, left_at + DRAIN_S + LONGER_S - time.time()))
    leaver.kill()
    leaver.wait()
    case.note("the server has exited")
    time.sleep(2.0)
    for group in clients:
        group.stop()
    if any(node.poll() is not None for node in nodes.values()):
        return NOT_RUN
    lines = [line for line in read_record(record) if "listening" not in line]
    arrived = {line["id"]: line["at"] for line in lines if "got" in line}
    answered = {line["answered"] for line in lines if "answered" in line}
    judged_from = max(left_at + DRAIN_S, answered_from + CONTACT_S)
    n_late = 0
    for group in clients:
        times = {key: arrived[key] for key in group.sent_at if key in arrived}
        if not any(at < left_at for at in times.values()):
            case.note(f"the server got no orders from {group.name} before it left")
            return NOT_RUN
        late = [key for key in times if group.sent_at[key] > judged_from]
        n_late += len(late)
        for key in late:
            case.note(
                f"{key} was sent {group.sent_at[key] - answered_from:.2f} s after the "
                f"store answered again, and reached the server "
                f"{times[key] - left_at:.2f} s after the acknowledgement; the client "
                f"got {group.statuses.get(key)}"
            )
        n_lost = sum(key not in answered for key in late)
        case.note(
            f"{group.name}, in touch: {len(late)} orders reached the server later than "
            f"its drain time; {n_lost} of them ran when it exited, and are lost"
        )
    return BROKEN if n_late else HELD


if __name__ == "__main__":
    run(FOLDER, play)
