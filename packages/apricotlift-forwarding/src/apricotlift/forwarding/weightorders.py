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

#: Time without effect after which an engine is asked for its order count: its entry may
#: show an outdated one, for which it refuses each order.
_ENTRY_TRUSTED_S = 5.0

#: Limit of the engines that count as loading: a share of those that serve the models
#: to be updated, and at least a fixed number. Loads become slower when more than a
#: third of the engines load at once.
_CONCURRENT_SHARE_MAX = 0.34
_N_CONCURRENT_MIN = 2

#: Share of the engines that may have an unsettled order, in sixths. All of these may
#: begin to load at once; the others keep serving.
_N_UNSETTLED_SIXTHS = 5

#: Time after its first order from which an unsettled engine no longer counts against
#: that limit, so that engines that orders don't reach don't keep others waiting.
_UNSETTLED_MAX_S = 15.0


@dataclass(frozen=True)
class LoadLimits:
    """Limits of the engines of some models.

    :param n_loading: engines that count as loading.
    :param n_unsettled: engines that may load or may begin to.
    """

    n_loading: int
    n_unsettled: int


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
    :param stated_count: order count that was stated, ``None`` if none was.
    :param n_sent: how often the order has been sent.
    :param is_accepted: whether the engine accepted it, or its order count has changed.
    """

    order: DueOrder
    sent_at: float
    first_sent_at: float
    stated_count: int | None
    n_sent: int = 1
    is_accepted: bool = False

    @property
    def loads_until(self) -> float:
        """Time until which the engine counts as loading."""
        if self.is_accepted:
            return self.sent_at + _ACCEPTED_LOAD_S
        return self.first_sent_at + _UNANSWERED_LOAD_S

    @property
    def unsettled_until(self) -> float:
        """Time until which the engine counts as one that may begin to load."""
        return max(self.loads_until, self.first_sent_at + _UNSETTLED_MAX_S)

    @property
    def repeat_at(self) -> float:
        """Time from which the order may be sent again."""
        if self.is_accepted:
            return self.loads_until
        repeat_s = _REPEAT_MIN_S * 2.0 ** (self.n_sent - 1)
        return self.sent_at + min(_REPEAT_MAX_S, repeat_s)


SentOrders = dict[tuple[str, int, str], SentOrder]


def count_limits(servers: Iterable[Server], models: set[str]) -> LoadLimits:
    """Return the limits of the engines that serve some models."""
    n_engines = sum(1 for server in servers if models.intersection(server.weights))
    n_loading = max(_N_CONCURRENT_MIN, int(n_engines * _CONCURRENT_SHARE_MAX))
    n_unsettled = n_engines * _N_UNSETTLED_SIXTHS // 6
    return LoadLimits(n_loading, max(n_loading, n_unsettled))


def list_unsettled(
    sent_orders: SentOrders, servers: Iterable[Server], now: float
) -> SentOrders:
    """Return the orders that may still be carried out, by incarnation of the engine.

    :param servers: the engines as their entries show them now.
    """
    unsettled = {}
    for server in servers:
        sent = sent_orders.get(server.incarnation)
        if sent is None:
            continue
        before = sent.order.server
        order = replace(sent.order, server=server)
        if before.n_orders != server.n_orders == sent.stated_count:
            # The stated count was newer than the entry, which shows it now.
            sent = replace(sent, order=order)
        elif before.weights != server.weights:
            continue
        elif before.n_orders != server.n_orders:
            # The engine has accepted an order, but doesn't have the weights yet.
            sent = SentOrder(order, now, now, server.n_orders, is_accepted=True)
        unsettled[server.incarnation] = sent
    return unsettled


def choose_orders(
    outdated: list[DueOrder], sent_orders: SentOrders, limits: LoadLimits, now: float
) -> list[DueOrder]:
    """Return the orders to send now, at most one for each engine.

    Engines without an unsettled order wait until the limits have room for them. The
    others may begin to load at any time anyway, so their orders are repeated, and
    replaced at once by one for a newer version, without regard to the limits.

    :param outdated: the engines that lack named weights, the most urgent ones first.
    :param sent_orders: the unsettled orders.
    """
    n_loading = sum(now < sent.loads_until for sent in sent_orders.values())
    n_unsettled = sum(now < sent.unsettled_until for sent in sent_orders.values())
    n_free = min(limits.n_loading - n_loading, limits.n_unsettled - n_unsettled)
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
    return chosen + waiting[: max(0, n_free)]


def is_count_doubtful(sent_orders: SentOrders, order: DueOrder, now: float) -> bool:
    """Return whether the order count in an engine's entry may be outdated."""
    sent = sent_orders.get(order.server.incarnation)
    return sent is not None and now - sent.first_sent_at >= _ENTRY_TRUSTED_S


def record_order(
    sent_orders: SentOrders, order: DueOrder, n_orders: int | None, now: float
) -> None:
    """Record that an order is sent that states an order count."""
    key = order.server.incarnation
    sent = sent_orders.get(key)
    if sent is None or sent.is_accepted:
        sent_orders[key] = SentOrder(order, now, now, n_orders)
        return
    n_sent = 1 if _is_newer(order, sent) else sent.n_sent + 1
    sent_orders[key] = SentOrder(order, now, sent.first_sent_at, n_orders, n_sent)


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
