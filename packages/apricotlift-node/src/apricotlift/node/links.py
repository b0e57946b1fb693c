"""Transfers over store links, started in the order of :mod:`policy.transfers`."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from uuid import uuid4

import anyio
from apricotlift.core import clocks
from apricotlift.core.errors import ApricotliftError, Code, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.policy.transfers import Link, Priority, Transfer, TransferSettings
from apricotlift.state.declarations import Store

_LONGEST_WAIT_S = 0.1


@dataclass
class Links:
    """The links to all stores, as far as this node uses them."""

    metrics: Metrics
    _links: dict[str, Link] = field(default_factory=dict)
    _started: dict[str, anyio.Event] = field(default_factory=dict)
    _expired: set[str] = field(default_factory=set)

    def count_bytes_ahead(self, store: Store, priority: Priority) -> float:
        """Return the bytes that go before a new transfer."""
        return self._get_link(store).count_bytes_ahead(priority)

    @asynccontextmanager
    async def transfer(
        self,
        store: Store,
        account: str,
        priority: Priority,
        size_bytes: int,
        useful_until_s: float = float("inf"),
    ) -> AsyncIterator[None]:
        """Wait for a turn on the link and hold it for the time of a block.

        :raises ApricotliftError: ``store_unavailable`` when the turn comes too late.
        """
        link = self._get_link(store)
        now_s = clocks.monotonic()
        transfer = Transfer(
            uuid4().hex, account, priority, size_bytes, now_s, useful_until_s
        )
        name = transfer.transfer_id
        self._started[name] = anyio.Event()
        link.add(transfer, now_s)
        try:
            await self._wait(link, name)
            waited_s = clocks.monotonic() - now_s
            self.metrics.observe(
                "link_wait_seconds", waited_s, priority=priority.name.lower()
            )
            yield
        finally:
            del self._started[name]
            if name in self._expired:
                self._expired.discard(name)
            else:
                link.finish(name, clocks.monotonic())
                self._pump(link)

    async def _wait(self, link: Link, name: str) -> None:
        event = self._started[name]
        while not event.is_set():
            wait_s = self._pump(link)
            if event.is_set():
                break
            with anyio.move_on_after(wait_s):
                await event.wait()
        if name in self._expired:
            message = "the transfer's turn came after it was of use"
            raise ApricotliftError(Code.STORE_UNAVAILABLE, message, scope=Scope.NODE)

    def _pump(self, link: Link) -> float:
        """Start what may start; return when to look again at the latest."""
        decision = link.start(clocks.monotonic())
        for transfer in decision.start:
            self._started[transfer.transfer_id].set()
        for transfer in decision.expired:
            self._expired.add(transfer.transfer_id)
            self._started[transfer.transfer_id].set()
        wait_s = decision.wait_s
        return _LONGEST_WAIT_S if wait_s is None else min(wait_s, _LONGEST_WAIT_S)

    def _get_link(self, store: Store) -> Link:
        link = self._links.get(store.name)
        if link is None:
            link = Link(store.link_bytes_per_s, TransferSettings())
            self._links[store.name] = link
        # A change of the declared rate applies to transfers that start later.
        link.bytes_per_s = store.link_bytes_per_s
        return link
