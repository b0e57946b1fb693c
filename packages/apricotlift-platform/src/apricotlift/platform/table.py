"""Client of the platform's transactional table service.

Uses the JSON protocol of Amazon DynamoDB (API version 2012-08-10) with the operations
``GetItem``, ``Query`` and ``TransactWriteItems``. A write whose response is lost may
have been applied. It raises ``table_unclear``, and the caller must read the row again.
"""

import base64
import json
from collections.abc import Sequence
from dataclasses import dataclass, field

from apricotlift.core import logs
from apricotlift.core.errors import ApricotliftError, Code, Ran, Scope
from apricotlift.core.metrics import Metrics
from apricotlift.upstreams.pool import Pool, Response, Timeouts

_API_VERSION = "DynamoDB_20120810"
_MAX_BODY_BYTES = 16_777_216

#: Maximum number of items in one ``TransactWriteItems`` call, from the published
#: protocol.
MAX_TRANSACTION_ITEMS = 100

#: Larger numbers fit neither the nodes' messages nor what they calculate.
_NUMBER_MAX = 2**63 - 1
_N_CHARACTERS_LOGGED = 64

Value = str | int | float | bytes | bool


@dataclass(frozen=True)
class Row:
    """A row of a table.

    :param pk: partition key.
    :param sk: sort key.
    :param values: attributes of the row, without its keys.
    """

    pk: str
    sk: str
    values: dict[str, Value] = field(default_factory=dict)


@dataclass(frozen=True)
class Condition:
    """A condition that a row must meet for a write to be applied.

    :param exists: whether the row must exist, ``None`` if either is allowed.
    :param equals: names and values of attributes that the row must have.
    """

    exists: bool | None = None
    equals: tuple[tuple[str, Value], ...] = ()


ANY = Condition()
ABSENT = Condition(exists=False)
PRESENT = Condition(exists=True)


def build_equals(**values: Value) -> Condition:
    """Return the condition that the row exists and has the given values."""
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
    """Client of one table of the table service.

    :param url: for example ``http://127.0.0.1:8000``.
    :param name: the table's name.
    :param timeout_s: time limit in seconds between two chunks of a request or response;
        the limit for connecting is at most 1 s.
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
        """Read a row with a consistent read.

        :returns: ``None`` when the row doesn't exist.

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
        """Read all rows of a partition with consistent reads, ordered by sort key.

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
        """Apply all writes or none of them.

        :param writes: at most :data:`MAX_TRANSACTION_ITEMS`, each to a different row.
        :param token: idempotency token; the service ignores a second call with it.
        :raises ApricotliftError: ``condition_failed`` with ``details["failed"]``,
            the indexes of the writes whose condition was not met;
            ``table_unavailable`` when the writes certainly were not applied;
            ``table_unclear`` when they may have been applied, because the response
            is missing or reports an internal error.
        :raises ValueError: for too many writes.
        """
        if len(writes) > MAX_TRANSACTION_ITEMS:
            raise ValueError(
                f"got {len(writes)} writes, expected at most {MAX_TRANSACTION_ITEMS}"
            )
        request: dict = {"TransactItems": [self._encode_write(item) for item in writes]}
        if token:
            request["ClientRequestToken"] = token
        self._metrics.count("table_writes_total", len(writes))
        try:
            response = await self._post("TransactWriteItems", request)
        except ApricotliftError as error:
            raise self._convert_write_error(error) from error
        if response.status == 200:
            return
        kind, data = _decode_error(response)
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
                    f"the conditions of writes {failed} were not met",
                    details={"failed": failed},
                )
        self._metrics.count("table_failures_total", operation="write", reason="refused")
        # In this protocol, a 4xx status or 503 means that the request was refused
        # before it ran. Another 5xx status may come after the request was applied.
        if response.status < 500 or response.status == 503:
            message = (
                f"table service refused the write with status {response.status} {kind}"
            )
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET)
        message = f"table service answered with status {response.status}"
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
            message = f"table service answered with status {response.status}"
            raise ApricotliftError(Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET)
        try:
            data = json.loads(response.body)
            if not isinstance(data, dict):
                raise ValueError("expected an object")
            return data
        except (ValueError, RecursionError) as error:
            message = f"table service sent invalid JSON: {error}"
            raise ApricotliftError(
                Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET
            ) from error

    async def _post(self, operation: str, request: dict) -> Response:
        headers = {
            "content-type": "application/x-amz-json-1.0",
            "x-amz-target": f"{_API_VERSION}.{operation}",
        }
        if self._authorization:
            headers["authorization"] = self._authorization
        body = json.dumps(request, separators=(",", ":")).encode()
        return await self._pool.request(
            "POST", self._url, headers, body, self._timeouts, _MAX_BODY_BYTES
        )

    def _convert_write_error(self, error: ApricotliftError) -> ApricotliftError:
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
    """Encode values in the typed form of the protocol.

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
    """Decode values from the typed form of the protocol.

    >>> decode_values({"n": {"N": "3"}, "f": {"N": "0.5"}})
    {'n': 3, 'f': 0.5}

    :raises ValueError: if the item has another form, for example because another
        program wrote it.
    """
    if type(item) is not dict:
        raise ValueError(f"expected an item, got {type(item).__name__}")
    return {name: _decode_value(name, typed) for name, typed in item.items()}


def _decode_value(name: str, typed: object) -> Value:
    kind, value = "", None
    if type(typed) is dict and len(typed) == 1:
        ((kind, value),) = typed.items()
    if kind == "BOOL" and type(value) is bool:
        return value
    if kind == "S" and type(value) is str:
        return value
    if kind == "N" and type(value) is str:
        return _decode_number(value)
    if kind == "B" and type(value) is str:
        return base64.b64decode(value)
    raise ValueError(f"value of {name[:_N_CHARACTERS_LOGGED]!r} has no known type")


def _decode_number(text: str) -> int | float:
    is_integer = text.lstrip("-").isdecimal()
    number = int(text) if is_integer else float(text)
    if not -_NUMBER_MAX <= number <= _NUMBER_MAX:
        raise ValueError("number is too large")
    return number


def _encode_condition(condition: Condition) -> dict:
    terms = []
    names = {}
    values: dict[str, Value] = {}
    if condition.exists is not None:
        function = "attribute_exists" if condition.exists else "attribute_not_exists"
        terms.append(f"{function}(pk)")
    for index, (name, value) in enumerate(condition.equals):
        terms.append(f"#n{index} = :v{index}")
        names[f"#n{index}"] = name
        values[f":v{index}"] = value
    if not terms:
        return {}
    body: dict = {"ConditionExpression": " AND ".join(terms)}
    if names:
        body["ExpressionAttributeNames"] = names
        body["ExpressionAttributeValues"] = encode_values(values)
    return body


def _build_row(item: dict[str, dict]) -> Row:
    """Return the row of an item, without values where these can't be read.

    >>> _build_row({"pk": {"S": "p"}, "sk": {"S": "s"}, "n": {"N": "9" * 5000}})
    Row(pk='p', sk='s', values={})

    :raises ApricotliftError: ``table_unavailable`` if the item has no keys.
    """
    try:
        keys = decode_values({name: item[name] for name in ("pk", "sk")})
    except (KeyError, TypeError, ValueError) as error:
        message = f"table service sent an item without keys: {type(error).__name__}"
        raise ApricotliftError(
            Code.TABLE_UNAVAILABLE, message, Ran.NO, Scope.FLEET
        ) from error
    others = {name: typed for name, typed in item.items() if name not in keys}
    try:
        values = decode_values(others)
    except ValueError as error:
        logs.log(
            logs.WARNING,
            "table_row_unreadable",
            row=f"{keys['pk']}/{keys['sk']}"[:_N_CHARACTERS_LOGGED],
            reason=str(error)[:_N_CHARACTERS_LOGGED],
        )
        values = {}
    return Row(str(keys["pk"]), str(keys["sk"]), values)


def _decode_error(response: Response) -> tuple[str, dict]:
    try:
        data = json.loads(response.body)
        return str(data.get("__type", "")).rpartition("#")[2], data
    except (ValueError, AttributeError):
        return "", {}
