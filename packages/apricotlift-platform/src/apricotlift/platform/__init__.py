"""Clients of the platform's table service, object store and live list."""

__all__: list[str] = []
