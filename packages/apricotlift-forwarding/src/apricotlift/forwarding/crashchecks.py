"""Finds out whether a server has crashed after it broke off requests.

A server has crashed when it refuses new connections. The requests that break off at one
incarnation during the check are collected, so that one crash gives one report.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from apricotlift.core.addresses import split_address
from apricotlift.forwarding.entities import Server

#: A server that crashes may accept connections for a moment after it breaks others.
_CHECK_PAUSE_S = 0.05
_CHECK_TIMEOUT_S = 0.3


@dataclass(frozen=True)
class BrokenRequest:
    """A request that a server broke off.

    :param parts: keys of the prompt parts that other requests may share.
    :param is_answering: whether the answer to a prompt had been under way for a while.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    is_answering: bool = False


@dataclass
class CrashCheck:
    """The check of one incarnation, and the requests that it broke off.

    :param done: is set once ``is_crash`` is known and the crash has been counted.
    """

    server: Server
    requests: list[BrokenRequest] = field(default_factory=list)
    done: anyio.Event = field(default_factory=anyio.Event)
    is_crash: bool = False


@dataclass
class CrashChecks:
    """The checks in progress, one for each incarnation at a time.

    :param count_crash: is called with the check once a crash is certain.
    """

    count_crash: Callable[[CrashCheck], None]
    _open: dict[tuple, CrashCheck] = field(default_factory=dict)

    def add(self, server: Server, request: BrokenRequest) -> tuple[CrashCheck, bool]:
        """Add a request to the check of its server.

        :returns: the check, and whether it is new and has to be run.
        """
        check = self._open.get(server.incarnation)
        is_new = check is None
        if check is None:
            check = self._open[server.incarnation] = CrashCheck(server)
        check.requests.append(request)
        return check, is_new

    async def run(self, check: CrashCheck) -> None:
        """Check the server and count a crash."""
        try:
            await anyio.sleep(_CHECK_PAUSE_S)
            check.is_crash = await _refuses_connections(check.server.address)
            if check.is_crash:
                self.count_crash(check)
        finally:
            del self._open[check.server.incarnation]
            check.done.set()


async def _refuses_connections(address: str) -> bool:
    host, port = split_address(address)
    try:
        with anyio.fail_after(_CHECK_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
            await stream.aclose()
        return False
    except TimeoutError:
        return False
    except OSError:
        return True
