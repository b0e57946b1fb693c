"""Starts a fleet of nodes and stand-ins on this machine, and sends it requests."""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio
import httpcore
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ObjectStore, Table
from apricotlift.state.configuration import Proposal, apply_change, read_head
from apricotlift.state.declarations import Declarations, parse_declarations
from apricotlift.upstreams.pool import Pool

from standins.processes import Process, Processes

CLUSTER_SECRET = "cluster-secret-for-tests"
OPERATOR_KEY = "operator-key-for-tests"


@dataclass(frozen=True)
class HttpResponse:
    """An HTTP response with its whole body."""

    status: int
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)

    def read_events(self) -> list[dict]:
        """Return the server-sent events as ``id``, ``event`` and ``data``."""
        events = []
        for block in self.body.decode().split("\n\n"):
            fields = dict(
                line.split(": ", 1) for line in block.splitlines() if ": " in line
            )
            if "data" in fields:
                events.append(fields)
        return events

    def read_text(self) -> str:
        """Return the streamed text.

        :raises AssertionError: if the answer has no finish reason or no end mark.
        """
        events = self.read_events()
        assert events and events[-1]["data"] == "[DONE]", self.body[-500:]
        chunks = [json.loads(event["data"]) for event in events[:-1]]
        assert chunks[-1]["choices"][0]["finish_reason"], chunks[-1]
        return "".join(read_chunk_text(chunk) for chunk in chunks)


def read_chunk_text(chunk: dict) -> str:
    """Return the text of a chunk of a completion or of a chat completion."""
    choice = chunk["choices"][0]
    if "delta" in choice:
        return choice["delta"].get("content", "")
    return choice["text"]


@dataclass
class Fleet:
    """Processes of a fleet and the declarations that describe them.

    :param sections: text of the declared sections.
    :param keys: API key by client account.
    :param nodes: process by node name.
    :param addresses: HOST:PORT by process, by ``NODE-admin`` and by ``NODE-peers``.
    """

    processes: Processes
    sections: list[str] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)
    nodes: dict[str, Process] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)

    def add_account(self, account: str, models: str = "wax", services: str = "") -> str:
        """Declare a client account with one key and return the key."""
        key = f"key-of-{account}"
        digest = hashlib.sha256(key.encode()).hexdigest()
        services_line = f"services = {services}\n" if services else ""
        self.sections.append(
            f"[account {account}]\nmodels = {models}\n{services_line}"
            f"[key {account}-1]\nsha256 = {digest}\naccount = {account}\n"
        )
        self.keys[account] = key
        return key

    def add_model(self, name: str = "wax", version: str = "v1") -> None:
        """Declare a model."""
        self.sections.append(f"[model {name}]\nweight_version = {version}\n")

    def start_engine(self, name: str, *arguments: str, models: str = "wax") -> Process:
        """Start and declare a stand-in engine."""
        process = self.processes.start_module(
            name, "standins.engine", "--name", name, *arguments
        )
        self.addresses[name] = process.get_address()
        self.sections.append(
            f"[upstream {name}]\nkind = engine\naddress = {self.addresses[name]}\n"
            f"failure_domain = z1\nmodels = {models}\n"
        )
        return process

    def start_platform(self) -> Process:
        """Start the stand-in of the platform."""
        process = self.processes.start_module(
            "platform", "standins.platform", "--name", "platform"
        )
        self.addresses["platform"] = process.get_address()
        return process

    def apply_declarations(self, message: str = "test") -> int:
        """Commit the declarations as the next version and return its number."""
        declarations = parse_declarations("\n".join(self.sections))
        return anyio.run(self._apply, declarations, message)

    async def _apply(self, declarations: Declarations, message: str) -> int:
        metrics = Metrics()
        url = f"http://{self.addresses['platform']}"
        async with Pool() as pool:
            table = Table(url, "apricotlift", pool, metrics)
            objects = ObjectStore(f"{url}/objects", pool)
            head = await read_head(table)
            proposal = Proposal(declarations, head.version, "tests", message)
            committed = await apply_change(table, objects, metrics, proposal)
        return committed.version

    def launch_node(
        self,
        name: str,
        domain: str = "z1",
        platform: str = "platform",
        **sections: str,
    ) -> Process:
        """Start a node without waiting until it serves.

        :param platform: name of the process whose address the node uses for the
            platform, such as a proxy.
        :param sections: further settings, as the body of each section by its name.
        """
        url = f"http://{self.addresses[platform]}"
        defaults = {
            "node": f"name = {name}\nfailure_domain = {domain}",
            "cluster": f"secret = {CLUSTER_SECRET}",
            "platform": f"table_url = {url}\nobjects_url = {url}/objects",
            "stop": "linger_s = 0",
        }
        text = "".join(
            f"[{section}]\n{body}\n"
            for section, body in {**defaults, **sections}.items()
        )
        path = self.processes.write_file(f"{name}.ini", text)
        self.nodes[name] = self.processes.start_module(
            name, "apricotlift.nodeprogram", "serve", "--settings", str(path)
        )
        return self.nodes[name]

    def wait_for_node(self, name: str) -> None:
        """Wait until a node listens and has applied a configuration."""
        process = self.nodes[name]
        for listener in ("callers", "admin", "peers"):
            suffix = "" if listener == "callers" else f"-{listener}"
            self.addresses[f"{name}{suffix}"] = process.get_address(listener)
        process.wait_for_event("configuration_in_force")

    def start_node(self, name: str, domain: str = "z1", **sections: str) -> Process:
        """Start a node and wait until it serves.

        The first call also starts the platform and commits the declarations.
        """
        if "platform" not in self.addresses:
            self.start_platform()
            self.add_operator()
            self.apply_declarations()
        self.launch_node(name, domain, **sections)
        self.wait_for_node(name)
        return self.nodes[name]

    def start_nodes(self, names: Iterable[str], domains: int = 2) -> None:
        """Start several nodes in parallel, spread over failure domains."""
        names = list(names)
        for number, name in enumerate(names):
            self.launch_node(name, f"z{number % domains + 1}")
        for name in names:
            self.wait_for_node(name)

    def add_operator(self) -> None:
        """Declare the operator whose key the tests use."""
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        self.sections.append(f"[operator tests]\nsha256 = {digest}\n")

    def request_admin(self, node: str, method: str, path: str) -> HttpResponse:
        """Call a node's admin listener with the operator's key."""
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        return self.request(f"{node}-admin", method, path, headers=headers)

    def request(
        self,
        target: str,
        method: str,
        path: str,
        account: str | None = None,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> HttpResponse:
        """Send a request to a named process and return the whole response."""
        all_headers = {"content-type": "application/json", **(headers or {})}
        if account is not None:
            all_headers["authorization"] = f"Bearer {self.keys[account]}"
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                f"http://{self.addresses[target]}{path}",
                headers=all_headers,
                content=content if body is not None else b"",
                extensions={"timeout": {"read": timeout_s, "connect": timeout_s}},
            )
        decoded = {
            key.decode().lower(): value.decode() for key, value in response.headers
        }
        return HttpResponse(response.status, decoded, response.content)

    def send_completion(
        self, target: str, account: str, prompt: str, headers=None, **values
    ) -> HttpResponse:
        """Request a completion, streamed by default, and return the whole response."""
        body = {"model": "wax", "prompt": prompt, "stream": True, "max_tokens": 20}
        body.update(values)
        return self.request(target, "POST", "/v1/completions", account, body, headers)

    def set_faults(self, target: str, **faults: object) -> None:
        """Replace the faults of a stand-in."""
        answer = self.request(target, "POST", "/faults", body=faults)
        assert answer.status == 200, answer

    def read_truth(self, target: str) -> dict:
        """Return the ground truth that a stand-in recorded."""
        return self.request(target, "GET", "/truth").read_json()

    def read_metrics(self, node: str) -> dict[str, float]:
        """Return a node's metric values by full name, labels included."""
        text = self.request_admin(node, "GET", "/metrics").body.decode()
        values = {}
        for line in text.splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                values[name] = float(value)
        return values
