"""The node process."""

__all__: list[str] = []
