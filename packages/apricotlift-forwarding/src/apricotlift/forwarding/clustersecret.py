"""The shared secret with which nodes authenticate each other, kept in the store."""

import random
import secrets

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.platform.table import ABSENT, Put, Row

PARTITION = "cluster"
ROW = "secret"
_SECRET_BYTES = 24
_RETRY_PAUSE_S = 0.25


async def read_or_create_cluster_secret(table) -> bytes:
    """Return the cluster's secret, and create it if there is none.

    Retries until the store is available. If another node creates the secret at the
    same time, the conditional write fails and that node's secret is read.
    """
    while True:
        try:
            row = await table.get(PARTITION, ROW)
            if row is not None:
                return str(row.values["secret"]).encode()
            secret = secrets.token_hex(_SECRET_BYTES)
            await table.transact([Put(Row(PARTITION, ROW, {"secret": secret}), ABSENT)])
            return secret.encode()
        except ApricotliftError as error:
            if error.code is not Code.CONDITION_FAILED:
                logs.log(
                    logs.WARNING,
                    "secret_unavailable",
                    code=error.code,
                    reason=error.message,
                )
                await anyio.sleep(_RETRY_PAUSE_S * random.uniform(0.8, 1.2))
