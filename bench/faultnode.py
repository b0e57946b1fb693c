"""A node with one mechanism disabled, to show that the checker detects its absence.

Run as ``python -m bench.faultnode NAME serve --settings FILE``. The production
entry point has no such option: this module replaces functions of the mechanism and
then starts the same node.
"""

import sys

from apricotlift.core import logs
from apricotlift.node import enginestreams, prompts
from apricotlift.node import main as node_main
from apricotlift.process import capture_signals
from apricotlift.state.claims import ClaimManager
from apricotlift.state.freshness import AdmissionBasis, Freshness
from apricotlift.state.suspects import SuspectRegistry


def _remove_claims() -> None:
    async def confirm(self, claim, condition) -> bool:
        self._confirm(claim, "unchecked")
        return True

    ClaimManager._write_claim = confirm


def _remove_salt() -> None:
    prompts.build_cache_salt = lambda secret, account, slot: "shared"


def _remove_offsets() -> None:
    enginestreams._append_chunk = lambda stream, chunk: stream.append(chunk.text)


def _remove_suspects() -> None:
    SuspectRegistry.report_crash = lambda self, *details: None
    SuspectRegistry.record_peer_crash = lambda self, *details: None


def _remove_freshness() -> None:
    Freshness.check_admission = lambda self, majority: AdmissionBasis.CURRENT


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
    signals = capture_signals()
    node_main.main(signals)
    signals.ignore()


if __name__ == "__main__":
    main()
