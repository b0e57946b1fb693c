"""Runs a node's part in bringing engines to their declared state.

:class:`EngineReconciler` sends engines the orders to load and unload weights. This
module provides its input: the declarations in force, those of the version before, and
the members of the cluster, as this node sees them.
"""

import anyio
from apricotlift.core.errors import ApricotliftError
from apricotlift.node.runtime import Node
from apricotlift.state.configuration import (
    ConfigurationHead,
    read_declarations,
    read_history_entry,
)
from apricotlift.state.declarations import Declarations
from apricotlift.state.enginereconciler import EngineReconciler, OrderView

_RETRY_DELAY_S = 1.0


class PreviousDeclarations:
    """The declarations of the version before the one in force."""

    def __init__(self):
        self.version = 0
        self.declarations: Declarations | None = None

    async def load(self, node: Node, version: int) -> None:
        """Read the declarations of ``version - 1`` from the platform.

        :param version: the configuration version in force.
        """
        if version == self.version:
            return
        declarations = None
        if version > 1:
            entry = await read_history_entry(node.cluster.table, version - 1)
            if entry is not None:
                head = ConfigurationHead(entry.version, entry.digest)
                declarations = await read_declarations(node.cluster.objects, head)
        self.declarations = declarations
        self.version = version


def build_engine_reconciler(
    node: Node, previous: PreviousDeclarations
) -> EngineReconciler:
    """Return the :class:`EngineReconciler` of a node."""
    cluster = node.cluster

    def get_view() -> OrderView:
        snapshot = cluster.follower.get_snapshot()
        # Unloading depends on the weights named in the previous version, so no order is
        # sent until that version has been read.
        is_current = (
            cluster.membership.freshness.is_current()
            and previous.version == snapshot.version
            and not node.is_draining
        )
        members = tuple(cluster.membership.view.get_eligible())
        return OrderView(
            snapshot.declarations,
            previous.declarations,
            snapshot.version,
            is_current,
            members,
        )

    return EngineReconciler(
        cluster.node_id, cluster.table, node.metrics, get_view, node.get_engine
    )


async def run_engine_reconciler(
    node: Node, reconciler: EngineReconciler, previous: PreviousDeclarations
) -> None:
    """Run an :class:`EngineReconciler` once the first configuration has arrived.

    The previous declarations are read again after each change of the configuration.
    """
    await node.cluster.follower.wait_for_version(1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reconciler.run)
        while True:
            version = node.cluster.follower.version
            try:
                await previous.load(node, version)
            except ApricotliftError as error:
                node.metrics.count("order_steps_failed_total", reason=error.code)
                await anyio.sleep(_RETRY_DELAY_S)
                continue
            await node.cluster.follower.wait_for_version(version + 1)
