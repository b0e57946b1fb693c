"""The weight versions that the operator has named, and what limits the use of others.

A version may be named before the one before it is loaded everywhere. Each version has a
time limit of its own: an engine that lacks several named versions is bound by the first
of them, so a later one never extends the use of old weights.

A node may learn of a version long after it was named: after a restart, a suspension or
the loss of a connection. Limits therefore count from the last time at which the version
was certainly not named yet, not from when the node learned of it.
"""

from dataclasses import dataclass, field, replace

#: Named versions kept for each model; older ones are merged.
_N_VERSIONS_MAX = 8


@dataclass(frozen=True)
class NamedWeights:
    """A weight version that the engines of a model should load.

    :param noticed_at: when this node learned of it.
    :param named_after: time after which it was named; minus infinity where only the
        version is known, so that it counts as named long ago.
    """

    version: int
    noticed_at: float
    named_after: float = float("-inf")


@dataclass
class WeightTargets:
    """The named weight versions of all models, in increasing order."""

    _named: dict[str, list[NamedWeights]] = field(default_factory=dict)

    def add(self, model: str, named: NamedWeights) -> bool:
        """Add a version unless it or a newer one is known.

        :returns: whether it was added.
        """
        known = self._named.setdefault(model, [])
        if known and named.version <= known[-1].version:
            return False
        known.append(named)
        if len(known) > _N_VERSIONS_MAX:
            # The merged entry keeps the earlier time, so that no time limit ends later.
            oldest, second = known[:2]
            known[:2] = [replace(oldest, version=second.version)]
        return True

    def get_newest(self, model: str) -> NamedWeights | None:
        """Return the version that engines should load, ``None`` if none is named."""
        known = self._named.get(model)
        return known[-1] if known else None

    def find_successor(self, model: str, version: int | None) -> NamedWeights | None:
        """Return the first version named after one, which limits the use of that one.

        >>> targets = WeightTargets()
        >>> targets.add("m", NamedWeights(2, 10.0))
        True
        >>> targets.add("m", NamedWeights(3, 15.0))
        True
        >>> targets.find_successor("m", 1)
        NamedWeights(version=2, noticed_at=10.0, named_after=-inf)
        >>> targets.find_successor("m", 3) is None
        True

        :param version: version that an engine has, ``None`` where it isn't known.
        """
        for named in self._named.get(model, ()):
            if named.version > (version or 0):
                return named
        return None

    def list_newest(self) -> list[tuple[str, int]]:
        """Return each model with the version that its engines should load."""
        return [(model, known[-1].version) for model, known in self._named.items()]
