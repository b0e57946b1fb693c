"""Starts two engines and two nodes, and prints one streamed answer."""

import json

import httpcore

from standins.fleet import Fleet, read_chunk_text
from standins.processes import Processes

ACCOUNT = "fes-courier"
MODEL = "wax"
PROMPT = "Which wax suits desert dust on a courier's chain?"


def main() -> None:
    """Start the fleet and send one prompt."""
    with Processes() as processes:
        fleet = Fleet(processes)
        fleet.add_model(MODEL)
        fleet.add_account(ACCOUNT, MODEL)
        for name in ("engine-1", "engine-2"):
            fleet.start_engine(name)
        for name in ("node-1", "node-2"):
            fleet.start_node(name)
        print(f"prompt to node-1 at {fleet.addresses['node-1']}: {PROMPT}")
        stream_answer(fleet, "node-1")


def stream_answer(fleet: Fleet, node: str) -> None:
    """Print the chunks of an answer as they arrive."""
    body = {"model": MODEL, "prompt": PROMPT, "stream": True, "max_tokens": 30}
    headers = {
        "authorization": f"Bearer {fleet.keys[ACCOUNT]}",
        "content-type": "application/json",
    }
    url = f"http://{fleet.addresses[node]}/v1/completions"
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream(
            "POST", url, headers=headers, content=json.dumps(body).encode()
        ) as response,
    ):
        rest = b""
        for chunk in response.iter_stream():
            *blocks, rest = (rest + chunk).split(b"\n\n")
            for block in blocks:
                data = block.decode().rpartition("data: ")[2]
                if data == "[DONE]":
                    print("\n[whole answer received]")
                else:
                    print(read_chunk_text(json.loads(data)), end="", flush=True)


if __name__ == "__main__":
    main()
