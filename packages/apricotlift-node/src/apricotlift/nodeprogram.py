"""Starts the node binary ``apricotlift-node``."""

from apricotlift.process import capture_signals


def main() -> None:
    """Run the command line of this process."""
    signals = capture_signals()
    # Imported here because the imports take most of the time until a node listens.
    from apricotlift.node.main import main as run_command_line

    run_command_line(signals)
    signals.ignore()


if __name__ == "__main__":
    main()
