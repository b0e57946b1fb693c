"""The signals of a process, from its first statement to its exit.

Programs import this package before all others, so it imports only light modules.
"""

from apricotlift.process.signals import CapturedSignals, capture_signals

__all__ = ["CapturedSignals", "capture_signals"]
