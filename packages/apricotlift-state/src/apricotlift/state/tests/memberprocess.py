"""A member process for scenarios that follows the configuration and renews its lease.

Run it as ``python -m apricotlift.state.tests.memberprocess NAME PLATFORM``, where
PLATFORM is the host and port of the platform. It logs ``config_applied`` for each
version that it puts in force, and ``standing`` whenever its configuration becomes
current or uncertain.
"""

import random
import sys

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.core.metrics import Metrics
from apricotlift.platform import ObjectStore, Table
from apricotlift.state.follower import ConfigurationFollower, ConfigurationPeers
from apricotlift.state.freshness import Freshness
from apricotlift.state.memberlease import RENEWAL_INTERVAL_S, Lease
from apricotlift.upstreams.pool import Pool
from apricotlift.wire.messages import MemberSummary

PAUSE_CHECK_INTERVAL_S = 0.05


async def refuse_peer_request(*arguments):
    raise ApricotliftError(Code.PEER_UNREACHABLE, "this member process has no peers")


async def run(name: str, platform: str) -> None:
    metrics = Metrics()
    freshness = Freshness(metrics)
    address = "127.0.0.1:1"
    summary = MemberSummary(name, "", address, address, "a", "serving")
    async with Pool() as pool, anyio.create_task_group() as tasks:
        table = Table(f"http://{platform}", "apricotlift", pool, metrics)
        objects = ObjectStore(f"http://{platform}/objects/bucket", pool)
        lease = Lease(table, summary, refuse_peer_request, metrics, random.Random(name))

        async def renew() -> None:
            while True:
                await lease.renew()
                await anyio.sleep(RENEWAL_INTERVAL_S)

        await lease.renew()
        follower = ConfigurationFollower(
            table,
            objects,
            ConfigurationPeers(
                lambda n_peers: [], refuse_peer_request, refuse_peer_request
            ),
            freshness,
            metrics,
            random.Random(name),
            lambda applied: tasks.start_soon(lease.publish, None, applied.version),
        )
        tasks.start_soon(renew)
        tasks.start_soon(follower.run)
        was_current = None
        while True:
            is_current = freshness.is_current()
            if is_current != was_current:
                logs.log(logs.INFO, "standing", is_current=is_current)
            was_current = is_current
            lease.detect_pause()
            await anyio.sleep(PAUSE_CHECK_INTERVAL_S)


if __name__ == "__main__":
    logs.configure(sys.argv[1])
    anyio.run(run, sys.argv[1], sys.argv[2])
