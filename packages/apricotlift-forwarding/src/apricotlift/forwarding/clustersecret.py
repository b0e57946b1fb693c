"""The shared secret with which nodes authenticate each other, kept in the store.

A store that comes back from a copy may lack the secret, or hold another one that a node
has created since. Each node then writes its secret again if there is none, and adopts
the one in the store otherwise, so that all nodes end up with the same.
"""

import random
import secrets
from collections.abc import Callable

import anyio
from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.platform.table import ABSENT, Put, Row, build_equals
from apricotlift.wire.handshake import MIN_SECRET_BYTES

PARTITION = "cluster"
ROW = "secret"
_SECRET_BYTES = 24
_RETRY_PAUSE_S = 0.25


class SecretKeeper:
    """Reads the secret, and compares it again after a restore of the store.

    :ivar secret: the secret that this node uses.
    """

    def __init__(self, table):
        self.secret = b""
        self._table = table
        self._restored = anyio.Event()

    async def load(self) -> bytes:
        """Read the secret, or create it, and return it."""
        self.secret = await read_or_create_cluster_secret(self._table)
        return self.secret

    def handle_restore(self) -> None:
        """Have the secret in the store compared with this node's."""
        self._restored.set()

    async def run(self, adopt: Callable[[bytes], None]) -> None:
        """Compare the secret after each restore, until cancelled.

        :param adopt: is called with another secret that was found in the store.
        """
        while True:
            await self._restored.wait()
            self._restored = anyio.Event()
            secret = await read_or_create_cluster_secret(self._table, self.secret)
            if secret != self.secret:
                logs.log(logs.WARNING, "secret_replaced")
                self.secret = secret
                adopt(secret)


async def read_or_create_cluster_secret(table, own_secret: bytes = b"") -> bytes:
    """Return the cluster's secret, and create it if there is none.

    :param own_secret: the secret to write if there is none; a new one if empty.

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
            secret = own_secret.decode() or secrets.token_hex(_SECRET_BYTES)
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
