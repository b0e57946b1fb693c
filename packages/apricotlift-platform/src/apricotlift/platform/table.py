"""Client of the platform's transactional table service.

Speaks the JSON protocol of Amazon DynamoDB (API version 2012-08-10), of which it
uses ``GetItem``, ``Query`` and ``TransactWriteItems``. A write whose answer is lost
may have taken effect: it raises ``table_unclear``, and its caller reads the row back.
"""

import base64
import json
from collections.abc import Sequence
from dataclasses import dataclass, field

from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.pool import Pool, Response, Timeouts

_TARGET = "DynamoDB_20120810"
_MAX_BODY_BYTES = 16_777_216

#: Most items that one ``TransactWriteItems`` takes, by the published protocol.
MAX_TRANSACTION_ITEMS = 100

Value = str | int | float | bytes | bool


@dataclass(frozen=True)
class Row:
    """One row.

    :param pk: partition key; :param sk: sort key.
    """

    pk: str
    sk: str
    values: dict[str, Value] = field(default_factory=dict)


@dataclass(frozen=True)
class Condition:
    """What must hold for a write.

    :param exists: whether the row must exist, ``None`` where it doesn't matter.
    :param equals: values that the row must have.
    """

    exists: bool | None = None
    equals: tuple[tuple[str, Value], ...] = ()


ANY = Condition()
ABSENT = Condition(exists=False)
PRESENT = Condition(exists=True)


def build_equals(**values: Value) -> Condition:
    """Return the condition that the row exists and has these values."""
    return Condition(exists=True, equals=tuple(sorted(values.items())))


@dataclass(frozen=True)
class Put:
    """Writes a whole row."""

    row: Row
    condition: Condition = ANY


@dataclass(frozen=True)
class Delete:
    """Deletes a row."""

    pk: str
    sk: str
    condition: Condition = ANY


Write = Put | Delete


class Table:
    """The table service.

    :param url: for example ``http://127.0.0.1:8000``.
    :param name: the table's name.
    :param authorization: value of the ``authorization`` header, empty for none.
    """

    def __init__(
        self,
        url: str,
        name: str,
        pool: Pool,
        metrics: Metrics,
        timeout_s: float = 2.0,
        authorization: str = "",
    ):
        self._url = url.rstrip("/") + "/"
        self._name = name
        self._pool = pool
        self._metrics = metrics
        self._timeouts = Timeouts(min(1.0, timeout_s), timeout_s, timeout_s)
        self._authorization = authorization

    async def get(self, pk: str, sk: str) -> Row | None:
        """Return a row by a consistent read, or ``None``.

        :raises ApricotliftError: ``table_unavailable``.
        """
        data = await self._read(
            "GetItem",
            {
                "TableName": self._name,
                "Key": encode_values({"pk": pk, "sk": sk}),
                "ConsistentRead": True,
            },
        )
        item = data.get("Item")
        return _build_row(item) if item else None

    async def query(self, pk: str) -> list[Row]:
        """Return all rows of a partition key by consistent reads, by sort key.

        :raises ApricotliftError: ``table_unavailable``.
        """
        rows: list[Row] = []
        start = None
        while True:
            request = {
                "TableName": self._name,
                "KeyConditionExpression": "pk = :pk",
                "ExpressionAttributeValues": encode_values({":pk": pk}),
                "ConsistentRead": True,
            }
            if start is not None:
                request["ExclusiveStartKey"] = start
            data = await self._read("Query", request)
            rows += [_build_row(item) for item in data.get("Items", [])]
            start = data.get("LastEvaluatedKey")
            if not start:
                return rows

    async def transact(self, writes: Sequence[Write], token: str = "") -> None:
        """Apply all writes or none.

        :param writes: at most :data:`MAX_TRANSACTION_ITEMS`, each of another row.
        :param token: the service ignores a second call with the same token.
        :raises ApricotliftError: ``condition_failed`` with ``details["failed"]``,
            the indexes of the writes whose condition did not hold;
            ``table_unavailable``, certainly not applied; ``table_unclear``, the
            answer is missing and the writes may have been applied.
        """
        if len(writes) > MAX_TRANSACTION_ITEMS:
            raise ValueError(f"{len(writes)} writes, at most {MAX_TRANSACTION_ITEMS}")
        request: dict = {"TransactItems": [self._encode_write(item) for item in writes]}
        if token:
            request["ClientRequestToken"] = token
        self._metrics.count("table_writes_total", len(writes))
        try:
            response = await self._post("TransactWriteItems", request)
        except ApricotliftError as error:
            raise self._classify_write(error) from error
        if response.status == 200:
            return
        kind, data = _read_error(response)
        if kind == "TransactionCanceledException":
            reasons = [item.get("Code") for item in data.get("CancellationReasons", [])]
            failed = [
                index
                for index, code in enumerate(reasons)
                if code == "ConditionalCheckFailed"
            ]
            if failed:
                raise ApricotliftError(
                    Code.CONDITION_FAILED,
                    f"the condition of {len(failed)} writes did not hold",
                    details={"failed": failed},
                )
        self._metrics.count("table_failures_total", operation="write", reason="refused")
        # The protocol's 4xx errors and 503 refuse a request before it runs; another
        # 5xx may come after it has taken effect.
        if response.status < 500 or response.status == 503:
            message = f"table service refused the write: {response.status} {kind}"
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET)
        message = f"table service answered {response.status}"
        raise ApricotliftError(Code.TABLE_UNCLEAR, message, Ran.MAYBE, Scope.FLEET)

    async def _read(self, operation: str, request: dict) -> dict:
        self._metrics.count("table_reads_total", operation=operation)
        try:
            response = await self._post(operation, request)
        except ApricotliftError as error:
            self._metrics.count(
                "table_failures_total", operation="read", reason=error.code
            )
            message = f"table service: {error.message}"
            raise ApricotliftError(
                Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET
            ) from error
        if response.status != 200:
            self._metrics.count(
                "table_failures_total", operation="read", reason="refused"
            )
            message = f"table service answered {response.status}"
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET)
        try:
            return json.loads(response.body)
        except ValueError as error:
            message = "table service sent invalid JSON"
            raise ApricotliftError(
                Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET
            ) from error

    async def _post(self, operation: str, request: dict) -> Response:
        headers = {
            "content-type": "application/x-amz-json-1.0",
            "x-amz-target": f"{_TARGET}.{operation}",
        }
        if self._authorization:
            headers["authorization"] = self._authorization
        body = json.dumps(request, separators=(",", ":")).encode()
        return await self._pool.request(
            "POST", self._url, headers, body, self._timeouts, _MAX_BODY_BYTES
        )

    def _classify_write(self, error: ApricotliftError) -> ApricotliftError:
        self._metrics.count(
            "table_failures_total", operation="write", reason=error.code
        )
        code = Code.TABLE_UNAVAILABLE if error.ran is Ran.NO else Code.TABLE_UNCLEAR
        return ApricotliftError(
            code, f"table service: {error.message}", error.ran, Scope.FLEET
        )

    def _encode_write(self, write: Write) -> dict:
        if isinstance(write, Put):
            keys = {"pk": write.row.pk, "sk": write.row.sk}
            item = encode_values({**write.row.values, **keys})
            body = {"TableName": self._name, "Item": item}
            body.update(_encode_condition(write.condition))
            return {"Put": body}
        key = encode_values({"pk": write.pk, "sk": write.sk})
        body = {"TableName": self._name, "Key": key}
        body.update(_encode_condition(write.condition))
        return {"Delete": body}


def encode_values(values: dict[str, Value]) -> dict[str, dict]:
    """Return values in the protocol's typed form.

    >>> encode_values({"a": "x", "n": 3})
    {'a': {'S': 'x'}, 'n': {'N': '3'}}
    """
    encoded: dict[str, dict] = {}
    for name, value in values.items():
        if isinstance(value, bool):
            encoded[name] = {"BOOL": value}
        elif isinstance(value, int | float):
            encoded[name] = {"N": repr(value)}
        elif isinstance(value, bytes):
            encoded[name] = {"B": base64.b64encode(value).decode()}
        else:
            encoded[name] = {"S": value}
    return encoded


def decode_values(item: dict[str, dict]) -> dict[str, Value]:
    """Return the plain values of the protocol's typed form.

    >>> decode_values({"n": {"N": "3"}, "f": {"N": "0.5"}})
    {'n': 3, 'f': 0.5}
    """
    values: dict[str, Value] = {}
    for name, typed in item.items():
        ((kind, value),) = typed.items()
        if kind == "N":
            values[name] = int(value) if value.lstrip("-").isdigit() else float(value)
        elif kind == "B":
            values[name] = base64.b64decode(value)
        else:
            values[name] = value
    return values


def _encode_condition(condition: Condition) -> dict:
    parts = []
    names = {}
    values: dict[str, Value] = {}
    if condition.exists is not None:
        word = "attribute_exists" if condition.exists else "attribute_not_exists"
        parts.append(f"{word}(pk)")
    for index, (name, value) in enumerate(condition.equals):
        parts.append(f"#n{index} = :v{index}")
        names[f"#n{index}"] = name
        values[f":v{index}"] = value
    if not parts:
        return {}
    body: dict = {"ConditionExpression": " AND ".join(parts)}
    if names:
        body["ExpressionAttributeNames"] = names
        body["ExpressionAttributeValues"] = encode_values(values)
    return body


def _build_row(item: dict[str, dict]) -> Row:
    values = decode_values(item)
    pk = str(values.pop("pk"))
    sk = str(values.pop("sk"))
    return Row(pk, sk, values)


def _read_error(response: Response) -> tuple[str, dict]:
    try:
        data = json.loads(response.body)
        return str(data.get("__type", "")).rpartition("#")[2], data
    except (ValueError, AttributeError):
        return "", {}
