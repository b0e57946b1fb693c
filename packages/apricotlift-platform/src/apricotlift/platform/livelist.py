"""Client of the platform's list of live and leaving instances.

The list lags, so it is only a hint: it may stop new work for a leaving instance but
never proves that an instance is alive.
"""

import json
from dataclasses import dataclass

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.upstreams.pool import Pool, Timeouts

_TIMEOUTS = Timeouts(connect_s=1.0, read_s=2.0, write_s=2.0)


@dataclass(frozen=True)
class ListedInstance:
    """One instance of the list."""

    name: str
    address: str
    is_leaving: bool


@dataclass(frozen=True)
class LiveList:
    """The list and the platform's wall clock when it was made."""

    as_of_ms: int
    instances: tuple[ListedInstance, ...]


async def get_live_list(url: str, pool: Pool) -> LiveList:
    """Return the list.

    :raises ApricotliftError: ``table_unavailable`` when it can't be read.
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
        message = f"live list: {error}"
        raise ApricotliftError(
            Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET
        ) from error
