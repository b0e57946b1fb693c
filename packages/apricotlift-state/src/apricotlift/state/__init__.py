"""Configuration, claims, membership, prefix runs, orders and suspects."""

__all__: list[str] = []
