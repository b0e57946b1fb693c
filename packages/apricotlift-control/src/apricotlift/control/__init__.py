"""The command line for operators, ``apricotlift``."""

__all__: list[str] = []
