"""Helpers of the forwarding steps: processes, store rows and client requests."""

import contextlib
import http.client
import json
import random
import socket

from features.waiting import wait_until

_ROUTE_DOCUMENTS = [
    ("orders", "/orders/", "non_idempotent", {}),
    ("lookup", "/lookup/", "idempotent", {"maxAttempts": 2}),
    ("doom", "/doom/", "idempotent", {"maxAttempts": 1}),
    (
        "long",
        "/long/",
        "streaming",
        {"resumable": True, "maxAttempts": 2, "sticky": True, "timeoutMs": 9000},
    ),
    ("short", "/short/", "streaming", {"maxAttempts": 2, "timeoutMs": 9000}),
]
HOST = "site.example"

#: Ports of nodes, below those that the system gives to connections.
_FIRST_NODE_PORT = 10_000
_LAST_NODE_PORT = 32_000
_GRACE_S = 8
_MEMORY_MB = 64
_DESCRIPTORS = 4096

# Test runs beside each other must not choose the same ports, so the seed isn't fixed.
_PORTS = random.SystemRandom()


def build_configuration(
    version, prefixes=(), keys=("k1",), n_kv_tokens=0, allowed_regions=()
):
    routes = [
        {
            "name": name,
            "hostname": HOST,
            "prefix": prefix,
            "routeType": kind,
            "timeoutMs": 2000,
            "targetLatencyMs": 200,
            "service": "svc",
            "allowedRegions": list(allowed_regions),
            **more,
        }
        for name, prefix, kind, more in _ROUTE_DOCUMENTS
    ]
    routes += [{**routes[1], "name": prefix, "prefix": prefix} for prefix in prefixes]
    engine = {"slots": 8, "maxConcurrency": 12, "models": [{"name": "m"}]}
    if n_kv_tokens:
        engine["kvCapacityTokens"] = n_kv_tokens
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "svc", "maxConnections": 100, "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000},
        "tenants": [{"name": "acme", "apiKeys": list(keys)}],
    }


def send_http_request(address, method, target, headers=None, body=b"", timeout_s=15.0):
    """Send one request on a new connection.

    :returns: status, headers and body.
    :raises http.client.IncompleteRead: if the body is incomplete.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def post_control(context, target, data):
    status, _, body = send_http_request(
        context.store_address, "POST", target, body=json.dumps(data).encode()
    )
    assert status == 200, (target, status)
    return json.loads(body)


def put_row(context, table, key, value):
    post_control(context, "/_put", {"table": table, "key": key, "value": value})


def put_server(
    context, name, address, state="ready", weights=1, boot_number=1, domain="z1"
):
    entry = {
        "service": "svc",
        "address": address,
        "zone": domain,
        "version": 1,
        "slots": 8,
        "state": state,
        "coldRemainingMs": 0,
        "seq": 0,
        "born": boot_number,
        "models": [{"name": "m", "version": weights}],
    }
    put_row(context, "servers", name, entry)


def start_servers(context, process_name, names, n_servers):
    process = context.processes.start_module(
        process_name, "standins.opaque", str(n_servers)
    )
    return {
        name: process.get_address(f"i-{number}")
        for number, name in enumerate(names, start=1)
    }


def find_free_port():
    """Return a port that a node can still bind after a restart.

    The system gives ports of its own range to connections, and to listeners that ask for
    any port, while the node is down.
    """
    while True:
        port = _PORTS.randint(_FIRST_NODE_PORT, _LAST_NODE_PORT)
        with socket.socket() as listener, contextlib.suppress(OSError):
            listener.bind(("127.0.0.1", port))
            return port


def write_settings(context, name, retry_share=0.2, n_retries=50):
    ports = context.ports[name]
    grace_s = getattr(context, "grace_s", _GRACE_S)
    text = f"[node]\nname = {name}\nfailure_domain = z1\n\n[listen]\n"
    text += "".join(f"{key} = 127.0.0.1:{port}\n" for key, port in ports.items())
    text += f"\n[store]\naddress = {context.store_address}\n"
    text += f"\n[bounds]\ngrace_s = {grace_s}\nretry_share = {retry_share}\n"
    text += f"n_retries = {n_retries}\n"
    memory_mb = getattr(context, "memory_mb", _MEMORY_MB)
    text += f"\n[limits]\nmemory_mb = {memory_mb}\n"
    text += f"descriptors = {getattr(context, 'descriptors', _DESCRIPTORS)}\n"
    regions = getattr(context, "regions", {})
    text += "\n[regions]\n"
    text += "".join(f"{domain} = {region}\n" for domain, region in regions.items())
    return context.processes.write_file(f"{name}.ini", text)


def launch_node(context, name):
    """Start a node without waiting until it listens, and return its process."""
    listeners = ("callers", "readiness", "directory", "peers", "metrics")
    context.ports[name] = {listener: find_free_port() for listener in listeners}
    path = write_settings(context, name)
    process = context.processes.start_script(
        name, "platform/main.py", {"APRICOTLIFT_BOOT": str(path)}
    )
    context.nodes[name] = process
    return process


def start_node(context, name):
    launch_node(context, name).wait_for_event("listening", listener="callers")
    wait_until(
        lambda: (
            send_http_request(get_address(context, name, "readiness"), "GET", "/")[0]
            == 200
        )
    )


def get_address(context, name, listener="callers"):
    return f"127.0.0.1:{context.ports[name][listener]}"


def read_directory(context, name):
    target = f"/resolve?name={HOST}&region=r&zone=z1"
    status, _, body = send_http_request(
        get_address(context, name, "directory"), "GET", target
    )
    return json.loads(body)["addresses"] if status == 200 else []


def read_server_records(context):
    _, _, body = send_http_request(context.servers["i-1"], "GET", "/_seen")
    return json.loads(body)


def send_client_request(context, node, method, target, script="ok", key="k1", body=b""):
    context.n_requests = getattr(context, "n_requests", 0) + 1
    context.request_id = f"r{context.n_requests}"
    headers = {
        "Host": HOST,
        "X-Request-Id": context.request_id,
        "X-Key": key,
        "X-Script": script,
        "X-Hold": "forged",
        "X-Tenant": "forged",
        "X-Deadline-Ms": "8000",
        "X-Model": "m",
        "X-Token-Usage": "30,5",
        "X-Prompt-Prefix": "aa:20,bb:10",
    }
    return send_http_request(get_address(context, node), method, target, headers, body)
