"""Which orders an engine needs: declared slots and role against reported ones.

Engines may ignore fencing, so an order must be harmless even when it arrives late
from a node that no longer owns the upstream. A slot name is immutable and a load
never replaces another slot; an unload names only a slot that no declaration of the
last two versions names on any upstream, and a retired version is never declared
again. A late load can thus only add an unused slot, which is unloaded later, and a
late unload can only name a retired slot.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from apricotlift.state.declarations import Declarations, Upstream, build_slot
from apricotlift.upstreams.engine import EngineHealth


@dataclass(frozen=True)
class PlannedOrder:
    """An order that is to be sent.

    :param action: ``load``, ``unload`` or ``role``.
    """

    action: str
    slot: str = ""
    model: str = ""
    weight_version: str = ""
    adapter: str = ""
    role: str = ""


def plan_orders(
    declarations: Declarations,
    previous: Declarations | None,
    upstream: Upstream,
    health: EngineHealth,
    unnamed_since: Mapping[str, float],
    now: float,
    unload_delay_s: float,
    in_progress: Collection[str] = (),
) -> list[PlannedOrder]:
    """Return the orders that bring an engine to its declared state.

    Unloads come first, as they make room for loads.

    :param previous: the version of the declarations before this one; while it is
        unknown nothing is unloaded.
    :param unnamed_since: from :func:`track_unnamed`.
    :param now: on the same clock as ``unnamed_since``.
    :param unload_delay_s: one lease time.
    :param in_progress: slots whose load has been ordered.
    """
    if upstream.drain or health.state != "serving":
        return []
    orders = []
    for slot, since in sorted(unnamed_since.items()):
        is_due = now - since >= unload_delay_s
        # An engine that doesn't tell how many runs use a slot keeps the slot: it
        # costs memory, while an unload could cut runs off.
        is_unused = health.running.get(slot) == 0
        if previous is not None and is_due and is_unused and slot in health.slots:
            orders.append(PlannedOrder("unload", slot))
    if health.role != upstream.role:
        orders.append(PlannedOrder("role", role=upstream.role))
    present = {*health.slots, *(health.loading or ()), *in_progress}
    for name in upstream.models:
        orders += _plan_loads(declarations, upstream, name, present)
    return orders


def list_named_slots(
    declarations: Declarations, previous: Declarations | None
) -> frozenset[str]:
    """Return the slots that either version names for any model.

    The slots of all models count on every upstream: a model that left an upstream
    may be declared there again, and a late unload must not hit it then.
    """
    named: set[str] = set()
    for version in (declarations, previous):
        if version is not None:
            everything = Upstream("", "engine", "", "", tuple(version.models))
            named.update(version.list_slots(everything))
    return frozenset(named)


def track_unnamed(
    unnamed_since: Mapping[str, float],
    named: Collection[str],
    health: EngineHealth,
    now: float,
) -> dict[str, float]:
    """Return since when each loaded slot has not been named.

    >>> health = EngineHealth("b", "serving", "mixed", {"wax@v1": "v1", "wax@v2": "v2"})
    >>> track_unnamed({"wax@v1": 3.0}, ["wax@v2"], health, 9.0)
    {'wax@v1': 3.0}
    """
    return {
        slot: unnamed_since.get(slot, now) for slot in health.slots if slot not in named
    }


def list_mismatches(health: EngineHealth, declarations: Declarations) -> list[str]:
    """Return declared slots that report another weight version than their name."""
    expected = {
        build_slot(model, version): version
        for model in declarations.models.values()
        for version in (model.weight_version, model.previous_version)
        if version
    }
    return sorted(
        slot
        for slot, version in health.slots.items()
        if expected.get(slot, version) != version
    )


def _plan_loads(
    declarations: Declarations, upstream: Upstream, name: str, present: set[str]
) -> list[PlannedOrder]:
    model = declarations.models[name]
    suffix = f"+{model.adapter}" if model.adapter else ""
    orders = []
    for slot in declarations.list_slots(replace(upstream, models=(name,))):
        version = slot.removeprefix(f"{name}@").removesuffix(suffix)
        if slot not in present:
            orders.append(PlannedOrder("load", slot, name, version, model.adapter))
    return orders
