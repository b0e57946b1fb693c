"""Chooses which engines are ordered next to load weights.

An order that gets no answer may be lost, under way, or carried out many seconds later.
Each order therefore states the number of orders that its engine has accepted, so of all
orders with one count an engine carries out only the first that it comes to. A later one
is refused, and never takes the engine back to older weights. When the engine's entry
shows other weights, all orders sent before are settled.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from apricotlift.forwarding.entities import Server

#: Time for which an engine counts as loading after the first of several orders that it
#: doesn't accept. Later it may still begin to load, but the others don't wait for it.
_UNANSWERED_LOAD_S = 1.0

#: Time for which an engine counts as loading after it has accepted an order, unless its
#: entry shows other weights before. The order is sent again after this time.
_ACCEPTED_LOAD_S = 6.0

#: Shortest and longest time after which an order that isn't accepted is repeated. The
#: time doubles with each repetition, because orders have a price.
_REPEAT_MIN_S = 1.0
_REPEAT_MAX_S = 4.0

#: Limit of the engines that count as loading: a share of those that serve the models
#: to be updated, and at least a fixed number. Loads become slower when more than a
#: third of the engines load at once.
_CONCURRENT_SHARE_MAX = 0.34
_N_CONCURRENT_MIN = 2


@dataclass(frozen=True)
class DueOrder:
    """An engine that lacks a named weight version."""

    server: Server
    model: str
    version: int


@dataclass(frozen=True)
class SentOrder:
    """The last order to an engine.

    :param order: the order, with the engine's entry on which it is based.
    :param sent_at: time of the last order.
    :param first_sent_at: time of the first one since an order was carried out.
    :param n_sent: how often the order has been sent.
    :param is_accepted: whether the engine accepted it, or its order count has changed.
    """

    order: DueOrder
    sent_at: float
    first_sent_at: float
    n_sent: int = 1
    is_accepted: bool = False

    @property
    def loads_until(self) -> float:
        """Time until which the engine counts as loading."""
        if self.is_accepted:
            return self.sent_at + _ACCEPTED_LOAD_S
        return self.first_sent_at + _UNANSWERED_LOAD_S

    @property
    def repeat_at(self) -> float:
        """Time from which the order may be sent again."""
        if self.is_accepted:
            return self.loads_until
        repeat_s = _REPEAT_MIN_S * 2.0 ** (self.n_sent - 1)
        return self.sent_at + min(_REPEAT_MAX_S, repeat_s)


SentOrders = dict[tuple[str, int, str], SentOrder]


def count_concurrent_max(servers: Iterable[Server], models: set[str]) -> int:
    """Return how many engines of some models may load at the same time."""
    n_engines = sum(1 for server in servers if models.intersection(server.weights))
    return max(_N_CONCURRENT_MIN, int(n_engines * _CONCURRENT_SHARE_MAX))


def list_unsettled(
    sent_orders: SentOrders, servers: Iterable[Server], now: float
) -> SentOrders:
    """Return the orders that may still be carried out, by incarnation of the engine.

    :param servers: the engines as their entries show them now.
    """
    unsettled = {}
    for server in servers:
        sent = sent_orders.get(server.incarnation)
        if sent is None or sent.order.server.weights != server.weights:
            continue
        if sent.order.server.n_orders != server.n_orders:
            # The engine has accepted an order, but doesn't have the weights yet.
            order = replace(sent.order, server=server)
            sent = SentOrder(order, now, now, is_accepted=True)
        unsettled[server.incarnation] = sent
    return unsettled


def choose_orders(
    outdated: list[DueOrder], sent_orders: SentOrders, n_concurrent_max: int, now: float
) -> list[DueOrder]:
    """Return the orders to send now, at most one for each engine.

    Only engines without an unsettled order wait until fewer engines count as loading.
    The others may begin to load at any time anyway, so their orders are repeated, and
    replaced at once by one for a newer version, without regard to the limit.

    :param outdated: the engines that lack named weights, the most urgent ones first.
    :param sent_orders: the unsettled orders.
    :param n_concurrent_max: limit of the engines that count as loading.
    """
    n_loading = sum(1 for sent in sent_orders.values() if now < sent.loads_until)
    chosen = []
    waiting = []
    for orders in _group_by_engine(outdated):
        sent = sent_orders.get(orders[0].server.incarnation)
        if sent is None:
            waiting.append(orders[0])
            continue
        order = _choose_model(orders, sent)
        if sent.is_accepted:
            if now >= sent.repeat_at:
                waiting.append(order)
        elif now >= sent.repeat_at or _is_newer(order, sent):
            chosen.append(order)
    return chosen + waiting[: max(0, n_concurrent_max - n_loading)]


def record_order(sent_orders: SentOrders, order: DueOrder, now: float) -> None:
    """Record that an order is sent."""
    key = order.server.incarnation
    sent = sent_orders.get(key)
    if sent is None or sent.is_accepted:
        sent_orders[key] = SentOrder(order, now, now)
        return
    n_sent = 1 if _is_newer(order, sent) else sent.n_sent + 1
    sent_orders[key] = SentOrder(order, now, sent.first_sent_at, n_sent)


def record_acceptance(sent_orders: SentOrders, order: DueOrder) -> None:
    """Record that an engine has accepted an order, unless another was sent since."""
    key = order.server.incarnation
    sent = sent_orders.get(key)
    if sent is not None and sent.order == order:
        sent_orders[key] = replace(sent, is_accepted=True)


def _group_by_engine(outdated: list[DueOrder]) -> list[list[DueOrder]]:
    groups: dict[tuple, list[DueOrder]] = {}
    for order in outdated:
        groups.setdefault(order.server.incarnation, []).append(order)
    return list(groups.values())


def _choose_model(orders: list[DueOrder], sent: SentOrder) -> DueOrder:
    """Return the next order to an engine; the models that it serves take turns."""
    models = [order.model for order in orders]
    if sent.order.model not in models:
        return orders[0]
    place = models.index(sent.order.model)
    if _is_newer(orders[place], sent):
        return orders[place]
    return orders[(place + 1) % len(orders)]


def _is_newer(order: DueOrder, sent: SentOrder) -> bool:
    return order.model == sent.order.model and order.version > sent.order.version
