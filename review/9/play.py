"""One client sends prompts of many parts, while ordinary clients ask the node."""

import http.client
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "fleet2"))

from harness2 import BROKEN, HELD, build_headers, call, run

N_PROMPTS = 12
#: Parts of one prompt. Their header has less than the 16,384 bytes of the limit.
N_PARTS = 2_100
#: Deadline of an order-lookup of the site.
DEADLINE_MS = 1_500
WATCH_S = 14
#: A machine is taken out after two questions in a row; this is five times as many.
N_UNANSWERED_MAX = 10
_ROUTES = [
    {
        "name": "prompt",
        "prefix": "/prompt/",
        "routeType": "streaming",
        "service": "llm",
        "sticky": True,
        "resumable": True,
    },
    {
        "name": "lookup",
        "prefix": "/lookup/",
        "routeType": "idempotent",
        "timeoutMs": 800,
    },
]
_ENGINE = {
    "slots": 64,
    "kvCapacityTokens": 45_089,
    "kvTokenBytes": 163_840,
    "linkMbps": 260_000,
    "maxConcurrency": 96,
    "managed": True,
    "models": [{"name": "m0"}],
}


def build_services(stores):
    """Return the services of the configuration, two stores of KV cache included."""
    services = [
        {"name": "llm", "maxConnections": 370, "engine": _ENGINE},
        {"name": "svc", "maxConnections": 110},
    ]
    capacities = (67_015, 795_809)
    for (name, address), capacity in zip(stores.items(), capacities, strict=True):
        store = {"name": f"store-{name}", "kvStoreAddr": address, "zone": "z1"}
        store |= {"kvCapacityTokens": capacity, "maxConcurrency": 96, "managed": True}
        services.append(store)
    return services


def build_prompt_headers(number, has_trouble):
    """Return the headers of a prompt with many parts, or with three."""
    n_parts = N_PARTS if has_trouble else 3
    first = 4096 + number * N_PARTS
    parts = ",".join(f"{first + place:x}:1" for place in range(n_parts))
    headers = {
        "X-Model": "m0",
        "X-Token-Usage": f"{n_parts},10",
        "X-Prompt-Prefix": parts,
    }
    return build_headers(f"prompt-{number}", 15_000, **headers)


def ask(port, target, headers, timeout_s):
    """Return the status of a request, or why there is none."""
    try:
        return call(port, "GET", target, headers, b"", timeout_s)[0]
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__


def play(case):
    """Return whether the node went on to answer ordinary requests."""
    case.start_store()
    script = Path(__file__).resolve().parent / "servers.py"
    ports = case.launch_servers(6, script)
    for name in ("i-1", "i-2"):
        case.put_server(name, ports[name], "llm", models=[{"name": "m0", "version": 1}])
    for name in ("i-3", "i-4"):
        case.put_server(name, ports[name], "svc")
    stores = {name: f"127.0.0.1:{ports[name]}" for name in ("i-5", "i-6")}
    case.put_configuration(_ROUTES, build_services(stores))
    node = case.start_node()
    # The node knows the stores after its first polls for their events.
    time.sleep(4)

    def send_prompt(number):
        headers = build_prompt_headers(number, case.has_trouble)
        n_bytes = sum(len(name) + len(value) + 4 for name, value in headers.items())
        try:
            status = call(node.ports["front"], "POST", "/prompt/a", headers, b"p", 60)[
                0
            ]
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        case.note(f"prompt {number}, {n_bytes} bytes of headers: {status}")

    for number in range(N_PROMPTS):
        threading.Thread(target=send_prompt, args=(number,), daemon=True).start()
    case.note(f"one client has sent {N_PROMPTS} prompts")
    time.sleep(0.5)
    answers = []

    def ask_node(number):
        headers = build_headers(f"ordinary-{number}", DEADLINE_MS)
        timeout_s = DEADLINE_MS / 1000
        status = ask(node.ports["front"], "/lookup/a", headers, timeout_s)
        ready = ask(node.ports["ready"], "/ready", {}, 1.0)
        case.note(f"ordinary request {number}: {status}; readiness: {ready}")
        answers.append((status, ready))

    threads = []
    for number in range(WATCH_S):
        threads.append(threading.Thread(target=ask_node, args=(number,)))
        threads[-1].start()
        time.sleep(1)
    for thread in threads:
        thread.join()
    n_unanswered = sum(
        not isinstance(status, int) and not isinstance(ready, int)
        for status, ready in answers
    )
    case.note(
        f"{n_unanswered} of {WATCH_S} clients got no answer in {DEADLINE_MS} ms, and "
        "none about readiness in a second after that"
    )
    case.note(f"the node has ended: {node.poll() is not None}")
    return BROKEN if n_unanswered >= N_UNANSWERED_MAX else HELD


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, play)
