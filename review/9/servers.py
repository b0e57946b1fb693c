"""Engines that answer each prompt with one event. Run as :mod:`standins2`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "fleet2"))

import standins2


async def answer_prompt(servers, name, writer, headers, own):
    """Answer a prompt with a short stream."""
    fields = {**own, "Content-Type": "text/event-stream", "Connection": "close"}
    lines = [f"{key}: {value}" for key, value in fields.items()]
    writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
    writer.write(b"id: 1\ndata: piece 1\n\n")
    await writer.drain()
    return False


standins2.BEHAVIOURS["prompt"] = answer_prompt

if __name__ == "__main__":
    standins2.main()
