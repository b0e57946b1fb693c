"""Finds the stream of a request that another node has started.

Attempt ids begin with the request key, so any node can ask engines for the streams
of a request without shared state. Owners that the serving node has told are asked
first; the engines are the fallback when owners know nothing or are gone.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError
from apricotlift.core.hashing import rank_nodes
from apricotlift.node.runtime import Node
from apricotlift.state.declarations import Upstream
from apricotlift.state.snapshots import Snapshot
from apricotlift.upstreams.engine import KeptStream
from apricotlift.wire.messages import FindAttempt, FindAttemptReply

MAX_CONCURRENT_QUERIES = 3
OWNER_TIMEOUT_S = 0.1


@dataclass(frozen=True)
class FoundStream:
    """A stream and the engine that holds it."""

    upstream: Upstream
    kept: KeptStream

    @property
    def body_digest(self) -> str:
        """The digest of the request's body, from the attempt id."""
        return self.kept.attempt_id.split(".")[1]

    @property
    def number(self) -> int:
        """The attempt's number, from the attempt id."""
        return int(self.kept.attempt_id.split(".")[2])


async def find_known_stream(node: Node, request_key: str) -> FoundStream | None:
    """Ask the owners of a request key, and verify their answer at the engine."""
    replies = await node.cluster.ask_owners(
        request_key, FindAttempt(request_key), OWNER_TIMEOUT_S
    )
    known = [
        reply
        for reply in replies
        if isinstance(reply, FindAttemptReply) and reply.found
    ]
    if not known:
        return None
    newest = max(known, key=lambda reply: reply.attempt_id)
    upstream = node.get_snapshot().declarations.upstreams.get(newest.upstream)
    if upstream is None:
        return None
    try:
        kept = await node.get_engine(upstream).find_streams(request_key)
    except ApricotliftError as error:
        node.metrics.count("stream_queries_failed_total", reason=error.code)
        return None
    found = [FoundStream(upstream, item) for item in kept]
    valid = [item for item in found if _is_valid(item, request_key)]
    return max(valid, key=_rank, default=None)


async def find_stream(
    node: Node, request_key: str, models: Iterable[str]
) -> FoundStream | None:
    """Ask the engines of some models for the streams of a request.

    A finished stream wins, then the later attempt, then the longer text.

    :param models: models that the caller's account may use.
    :returns: ``None`` when no engine that answers holds a stream.
    """
    engines = _list_engines(node.get_snapshot(), set(models))
    ranked = rank_nodes(request_key, engines)
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
    found: list[FoundStream] = []

    async def ask(name: str) -> None:
        async with limiter:
            engine = node.get_engine(engines[name])
            try:
                kept = await engine.find_streams(request_key)
            except ApricotliftError as error:
                node.metrics.count("stream_queries_failed_total", reason=error.code)
                return
        found.extend(FoundStream(engines[name], item) for item in kept)

    async with anyio.create_task_group() as tasks:
        for name in ranked:
            tasks.start_soon(ask, name)
    valid = [item for item in found if _is_valid(item, request_key)]
    if not valid:
        return None
    best = max(valid, key=_rank)
    logs.log(
        logs.INFO,
        "stream_found",
        attempt=best.kept.attempt_id,
        upstream=best.upstream.name,
    )
    return best


def _list_engines(snapshot: Snapshot, models: set[str]) -> dict[str, Upstream]:
    # Draining engines are asked too: they may still hold the stream.
    return {
        upstream.name: upstream
        for upstream in snapshot.declarations.upstreams.values()
        if upstream.kind == "engine" and models & set(upstream.models)
    }


def _is_valid(item: FoundStream, request_key: str) -> bool:
    parts = item.kept.attempt_id.split(".")
    return len(parts) == 3 and parts[0] == request_key and parts[2].isdigit()


def _rank(item: FoundStream) -> tuple[bool, int, int]:
    return item.kept.finished, item.number, item.kept.n_characters
