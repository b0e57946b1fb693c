"""Schedules transfers over store links; :mod:`apricotlift.policy` sets the order."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from uuid import uuid4

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.policy.transfers import (
    LinkScheduler,
    Transfer,
    TransferPriority,
    TransferSettings,
)
from apricotlift.state.declarations import Store

_MAX_WAIT_S = 0.1


@dataclass
class StoreLinks:
    """The transfers of this node over the links to all stores."""

    metrics: Metrics
    _links: dict[str, LinkScheduler] = field(default_factory=dict)
    _turn_events: dict[str, anyio.Event] = field(default_factory=dict)
    _expired: set[str] = field(default_factory=set)

    def count_bytes_ahead(self, store: Store, priority: TransferPriority) -> float:
        """Return the bytes that would be transferred before a new transfer."""
        return self._get_link(store).count_bytes_ahead(priority)

    @asynccontextmanager
    async def transfer(
        self,
        store: Store,
        account: str,
        priority: TransferPriority,
        size_bytes: int,
        useful_until_s: float = float("inf"),
    ) -> AsyncIterator[None]:
        """Wait until a transfer may start, and occupy the link inside the block.

        :param useful_until_s: time on the node's clock after which the transfer is of
            no use.
        :raises ApricotliftError: ``store_unavailable`` if the transfer could not start
            in time.
        """
        link = self._get_link(store)
        now_s = clocks.monotonic()
        transfer = Transfer(
            uuid4().hex, account, priority, size_bytes, now_s, useful_until_s
        )
        name = transfer.transfer_id
        self._turn_events[name] = anyio.Event()
        link.add(transfer, now_s)
        try:
            await self._wait(link, name)
            waited_s = clocks.monotonic() - now_s
            self.metrics.observe(
                "link_wait_seconds", waited_s, priority=priority.name.lower()
            )
            yield
        finally:
            del self._turn_events[name]
            if name in self._expired:
                self._expired.discard(name)
            else:
                link.finish(name, clocks.monotonic())
                self._start_due_transfers(link)

    async def _wait(self, link: LinkScheduler, name: str) -> None:
        event = self._turn_events[name]
        while not event.is_set():
            wait_s = self._start_due_transfers(link)
            if event.is_set():
                break
            with anyio.move_on_after(wait_s):
                await event.wait()
        if name in self._expired:
            message = "the transfer expired before the link was free"
            raise ApricotliftError(Code.STORE_UNAVAILABLE, message, scope=Scope.NODE)

    def _start_due_transfers(self, link: LinkScheduler) -> float:
        """Start the transfers that are due; return the seconds until the next check."""
        decision = link.start(clocks.monotonic())
        for transfer in decision.start:
            self._turn_events[transfer.transfer_id].set()
        for transfer in decision.expired:
            self._expired.add(transfer.transfer_id)
            self._turn_events[transfer.transfer_id].set()
        wait_s = decision.wait_s
        return _MAX_WAIT_S if wait_s is None else min(wait_s, _MAX_WAIT_S)

    def _get_link(self, store: Store) -> LinkScheduler:
        link = self._links.get(store.name)
        if link is None:
            link = LinkScheduler(store.link_bytes_per_s, TransferSettings())
            self._links[store.name] = link
        # The declared rate may change. Transfers that start later use the new one.
        link.bytes_per_s = store.link_bytes_per_s
        return link
