"""Client of the platform's list of live and leaving instances.

The list lags behind, so it is only a hint. It may be used to stop sending new work to a
leaving instance, but never proves that an instance is alive.
"""

import json
from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.pool import Pool, Timeouts

_TIMEOUTS = Timeouts(connect_s=1.0, read_s=2.0, write_s=2.0)


@dataclass(frozen=True)
class ListedInstance:
    """An entry of the list."""

    name: str
    address: str
    is_leaving: bool


@dataclass(frozen=True)
class LiveList:
    """The listed instances.

    :param as_of_ms: the platform's wall clock in ms when the list was made.
    """

    as_of_ms: int
    instances: tuple[ListedInstance, ...]


async def get_live_list(url: str, pool: Pool) -> LiveList:
    """Read the list from the platform.

    :param url: base URL of the service that has the list.
    :raises ApricotliftError: ``table_unavailable`` when the list can't be read.
    """
    try:
        response = await pool.request(
            "GET", f"{url.rstrip('/')}/instances", timeouts=_TIMEOUTS
        )
        data = json.loads(response.body)
        instances = tuple(
            ListedInstance(item["name"], item["address"], item["state"] == "leaving")
            for item in data["instances"]
        )
        return LiveList(int(data["as_of_ms"]), instances)
    except (ApricotliftError, ValueError, KeyError, TypeError) as error:
        message = f"can't read the live list: {error}"
        raise ApricotliftError(
            Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET
        ) from error
