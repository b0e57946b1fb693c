"""A node with one mechanism disabled, to show that the checker detects its absence.

Run as ``python -m bench.faultnode NAME serve --settings FILE``. The production
entry point has no such option: this module replaces functions of the mechanism and
then starts the same node.
"""

import sys

from apricotlift.core import logs
from apricotlift.node import main as node_main
from apricotlift.node import prompts, reading
from apricotlift.state.claims import Claims
from apricotlift.state.freshness import Freshness, Standing
from apricotlift.state.suspects import Suspects


def _remove_claims() -> None:
    async def confirm(self, claim, condition) -> bool:
        self._confirm(claim, "unchecked")
        return True

    Claims._write_claim = confirm


def _remove_salt() -> None:
    prompts.build_cache_salt = lambda secret, account, slot: "shared"


def _remove_offsets() -> None:
    reading._append = lambda stream, chunk: stream.append(chunk.text)


def _remove_suspects() -> None:
    Suspects.report_crash = lambda self, *details: None
    Suspects.note_crash = lambda self, *details: None


def _remove_freshness() -> None:
    Freshness.check_admission = lambda self, majority: Standing.CURRENT


MECHANISM_REMOVERS = {
    "claims": _remove_claims,
    "salt": _remove_salt,
    "offsets": _remove_offsets,
    "suspects": _remove_suspects,
    "freshness": _remove_freshness,
}


def main() -> None:
    """Disable the mechanism named by the first argument, and run the node."""
    name = sys.argv.pop(1)
    MECHANISM_REMOVERS[name]()
    logs.configure(name)
    logs.log(logs.WARNING, "mechanism_removed", name=name)
    node_main.main()


if __name__ == "__main__":
    main()
