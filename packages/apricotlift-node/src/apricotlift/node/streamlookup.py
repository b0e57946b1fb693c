"""Finds the stream of a request that another node started.

Attempt ids begin with the request key, so any node can ask the engines for the streams
of a request without shared state. The owners of the request key are asked first, since
the node that serves a request reports its attempts to them. The engines are the
fallback if no owner knows the request or none replies.
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
from apricotlift.upstreams.engine import RetainedStream
from apricotlift.wire.messages import FindAttempt, FindAttemptReply

MAX_CONCURRENT_QUERIES = 3
OWNER_TIMEOUT_S = 0.1


@dataclass(frozen=True)
class FoundStream:
    """A stream and the engine that holds it."""

    upstream: Upstream
    retained: RetainedStream

    @property
    def body_digest(self) -> str:
        """The digest of the request's body, from the attempt id."""
        return self.retained.attempt_id.split(".")[1]

    @property
    def attempt_number(self) -> int:
        """The attempt's number, from the attempt id."""
        return int(self.retained.attempt_id.split(".")[2])


async def find_recorded_stream(node: Node, request_key: str) -> FoundStream | None:
    """Find a stream through the owners of its request key.

    The engine that the owners name is asked whether it really holds the stream.

    :returns: ``None`` if no owner knows the request or the engine doesn't hold it.
    """
    replies = await node.cluster.query_owners(
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
        retained = await node.get_engine(upstream).find_streams(request_key)
    except ApricotliftError as error:
        node.metrics.count("stream_queries_failed_total", reason=error.code)
        return None
    found = [FoundStream(upstream, item) for item in retained]
    valid = [item for item in found if _is_valid(item, request_key)]
    return max(valid, key=_get_preference_key, default=None)


async def find_stream(
    node: Node, request_key: str, models: Iterable[str]
) -> FoundStream | None:
    """Ask all engines of the given models for the streams of a request.

    Finished streams are preferred, then later attempts, then longer texts.

    :param models: models that the caller's account may use.
    :returns: ``None`` if no engine that replies holds a stream.
    """
    engines = _list_engines(node.get_snapshot(), set(models))
    ranked = rank_nodes(request_key, engines)
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
    found: list[FoundStream] = []

    async def ask(name: str) -> None:
        async with limiter:
            engine = node.get_engine(engines[name])
            try:
                retained = await engine.find_streams(request_key)
            except ApricotliftError as error:
                node.metrics.count("stream_queries_failed_total", reason=error.code)
                return
        found.extend(FoundStream(engines[name], item) for item in retained)

    async with anyio.create_task_group() as tasks:
        for name in ranked:
            tasks.start_soon(ask, name)
    valid = [item for item in found if _is_valid(item, request_key)]
    if not valid:
        return None
    best = max(valid, key=_get_preference_key)
    logs.log(
        logs.INFO,
        "stream_found",
        attempt=best.retained.attempt_id,
        upstream=best.upstream.name,
    )
    return best


def _list_engines(snapshot: Snapshot, models: set[str]) -> dict[str, Upstream]:
    # Draining engines are included, because they may still hold the stream.
    return {
        upstream.name: upstream
        for upstream in snapshot.declarations.upstreams.values()
        if upstream.kind == "engine" and models & set(upstream.models)
    }


def _is_valid(item: FoundStream, request_key: str) -> bool:
    parts = item.retained.attempt_id.split(".")
    return len(parts) == 3 and parts[0] == request_key and parts[2].isdigit()


def _get_preference_key(item: FoundStream) -> tuple[bool, int, int]:
    return item.retained.finished, item.attempt_number, item.retained.n_characters
