"""Routing, retention, admission and retry decisions."""

__all__: list[str] = []
