"""Clients of model engines, plain services and KV stores."""

__all__: list[str] = []
