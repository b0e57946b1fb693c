"""Planning of the orders that bring an engine to its declared slots and role.

Engines may ignore fencing, so an order must be harmless even if it arrives late from
a node that no longer owns the upstream. The weights under a slot name never change,
and a load never replaces another slot. An unload is planned only for a slot that
neither of the last two versions of the declarations references on any upstream, and a
retired weight version is never declared again. A late load can therefore only add an
unused slot, which is unloaded later, and a late unload can only remove a retired slot.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from apricotlift.state.declarations import Declarations, Upstream, build_slot
from apricotlift.upstreams.engine import EngineHealth


@dataclass(frozen=True)
class PlannedOrder:
    """An order to be sent to an engine.

    :param action: ``load``, ``unload`` or ``role``.
    :param slot: slot to load or unload; empty for ``role``.
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
    unreferenced_since: Mapping[str, float],
    now: float,
    unload_delay_s: float,
    ordered_loads: Collection[str] = (),
) -> list[PlannedOrder]:
    """Return the orders that bring an engine to its declared state.

    Unloads come first, as they make room for loads.

    :param previous: the declarations of the preceding version; while they are unknown
        nothing is unloaded.
    :param unreferenced_since: result of :func:`track_unreferenced`.
    :param now: time in seconds on the same clock as ``unreferenced_since``.
    :param unload_delay_s: seconds for which a slot must have been unreferenced before
        it is unloaded: the duration of one lease.
    :param ordered_loads: slots whose load has been ordered, or failed a short time
        ago, and which are not ordered again now.
    """
    if upstream.drain or health.state != "serving":
        return []
    orders = []
    for slot, since in sorted(unreferenced_since.items()):
        is_due = now - since >= unload_delay_s
        # An engine that doesn't report how many runs use a slot keeps the slot: that
        # costs only memory, while an unload could interrupt runs.
        is_unused = health.running.get(slot) == 0
        if previous is not None and is_due and is_unused and slot in health.slots:
            orders.append(PlannedOrder("unload", slot))
    if health.role != upstream.role:
        orders.append(PlannedOrder("role", role=upstream.role))
    present_slots = {*health.slots, *(health.loading or ()), *ordered_loads}
    for name in upstream.models:
        orders += _plan_loads(declarations, upstream, name, present_slots)
    return orders


def list_referenced_slots(
    declarations: Declarations, previous: Declarations | None
) -> frozenset[str]:
    """Return the slots of all models in either version.

    They count as referenced on every upstream: a model that was removed from an
    upstream may be declared there again, and a late unload must not remove it then.
    """
    referenced: set[str] = set()
    for version in (declarations, previous):
        if version is not None:
            all_models_upstream = Upstream("", "engine", "", "", tuple(version.models))
            referenced.update(version.list_slots(all_models_upstream))
    return frozenset(referenced)


def track_unreferenced(
    unreferenced_since: Mapping[str, float],
    referenced: Collection[str],
    health: EngineHealth,
    now: float,
) -> dict[str, float]:
    """Return the time since which each loaded slot has been unreferenced.

    :param unreferenced_since: result of the previous call.
    :param now: time in seconds, used for slots that are newly unreferenced.

    >>> health = EngineHealth("b", "serving", "mixed", {"wax@v1": "v1", "wax@v2": "v2"})
    >>> track_unreferenced({"wax@v1": 3.0}, ["wax@v2"], health, 9.0)
    {'wax@v1': 3.0}
    """
    return {
        slot: unreferenced_since.get(slot, now)
        for slot in health.slots
        if slot not in referenced
    }


def list_version_mismatches(
    health: EngineHealth, declarations: Declarations
) -> list[str]:
    """Return declared slots whose reported weight version differs from their name."""
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
    declarations: Declarations, upstream: Upstream, name: str, present_slots: set[str]
) -> list[PlannedOrder]:
    model = declarations.models[name]
    suffix = f"+{model.adapter}" if model.adapter else ""
    orders = []
    for slot in declarations.list_slots(replace(upstream, models=(name,))):
        version = slot.removeprefix(f"{name}@").removesuffix(suffix)
        if slot not in present_slots:
            orders.append(PlannedOrder("load", slot, name, version, model.adapter))
    return orders
