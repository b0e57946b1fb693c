"""The shared secret with which nodes authenticate each other, kept in the store."""

import random
import secrets

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.platform.table import ABSENT, Put, Row, build_equals
from apricotlift.wire.handshake import MIN_SECRET_BYTES

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
            known = row.values.get("secret") if row is not None else None
            if isinstance(known, str) and len(known.encode()) >= MIN_SECRET_BYTES:
                return known.encode()
            condition = ABSENT
            if row is not None:
                logs.log(logs.WARNING, "secret_unusable", row=f"{PARTITION}/{ROW}")
                condition = build_equals(**row.values)
            secret = secrets.token_hex(_SECRET_BYTES)
            row = Row(PARTITION, ROW, {"secret": secret})
            await table.transact([Put(row, condition)])
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
