"""Shared state of the nodes: configuration, claims, membership, orders and suspects.

Prefix runs are kept here as well.
"""

__all__: list[str] = []
