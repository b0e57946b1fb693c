"""Table service of the platform stand-in: a subset of Amazon DynamoDB.

Serves ``GetItem``, ``Query`` by partition key and ``TransactWriteItems`` of the JSON
protocol, API version 2012-08-10, with the limits and error types that the published
protocol defines. Other requests are refused with ``ValidationException``.
"""

import base64
import json
import re
import time
from dataclasses import dataclass, field
from decimal import Decimal

MAX_TRANSACTION_ITEMS = 100
MAX_ITEM_BYTES = 400 * 1024
MAX_TRANSACTION_BYTES = 4 * 1024 * 1024
MAX_PAGE_BYTES = 1024 * 1024
#: The protocol keeps a ``ClientRequestToken`` for ten minutes.
TOKEN_RETENTION_S = 600.0

_EQUALITY_CONDITION = re.compile(r"(#\w+|\w+) = (:\w+)")

Item = dict[str, dict]


class TableError(Exception):
    """An error answer of the protocol."""

    def __init__(self, kind: str, message: str, reasons: list[dict] | None = None):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.reasons = reasons

    def build_body(self) -> dict:
        """Return the JSON body of the answer."""
        data = {
            "__type": f"com.amazonaws.dynamodb.v20120810#{self.kind}",
            "message": self.message,
        }
        if self.reasons is not None:
            data["CancellationReasons"] = self.reasons
        return data


@dataclass
class TableStore:
    """The rows of all tables, and counts of reads and writes.

    :param tables: items by table, partition key and sort key.
    :param tokens: time and request by ``ClientRequestToken``.
    """

    tables: dict[str, dict[str, dict[str, Item]]] = field(default_factory=dict)
    tokens: dict[str, tuple[float, str]] = field(default_factory=dict)
    n_reads: int = 0
    n_rows_read: int = 0
    n_transactions: int = 0
    n_cancelled: int = 0
    n_writes: int = 0

    def get(self, request: dict) -> dict:
        """Answer ``GetItem``."""
        self._check_consistent(request)
        pk, sk = _read_key(request["Key"])
        self.n_reads += 1
        self.n_rows_read += 1
        item = self._get_rows(request["TableName"], pk).get(sk)
        return {} if item is None else {"Item": item}

    def query(self, request: dict) -> dict:
        """Answer ``Query`` with one page of items, ordered by sort key."""
        self._check_consistent(request)
        if request["KeyConditionExpression"] != "pk = :pk":
            raise _build_validation_error("KeyConditionExpression must be 'pk = :pk'")
        pk = request["ExpressionAttributeValues"][":pk"]["S"]
        rows = self._get_rows(request["TableName"], pk)
        sort_keys = sorted(rows, key=str.encode)
        start = request.get("ExclusiveStartKey")
        if start:
            after = _read_key(start)[1].encode()
            sort_keys = [sk for sk in sort_keys if sk.encode() > after]
        self.n_reads += 1
        items: list[Item] = []
        n_bytes = 0
        for sk in sort_keys:
            items.append(rows[sk])
            n_bytes += measure_item(rows[sk])
            if n_bytes >= MAX_PAGE_BYTES or len(items) >= request.get("Limit", 1 << 30):
                break
        self.n_rows_read += len(items)
        data: dict = {"Items": items, "Count": len(items), "ScannedCount": len(items)}
        if (
            n_bytes >= MAX_PAGE_BYTES
            or "Limit" in request
            and len(items) == (request["Limit"])
        ):
            data["LastEvaluatedKey"] = {"pk": {"S": pk}, "sk": items[-1]["sk"]}
        return data

    def transact(self, request: dict) -> dict:
        """Answer ``TransactWriteItems``: apply all writes or none."""
        writes = [_read_write(item) for item in request["TransactItems"]]
        self._check_transaction(writes)
        token = request.get("ClientRequestToken", "")
        text = json.dumps(request["TransactItems"], sort_keys=True)
        if self._is_repeated_transaction(token, text):
            return {}
        reasons = [self._check_condition(kind, body) for kind, body in writes]
        if any(reason["Code"] != "None" for reason in reasons):
            self.n_cancelled += 1
            codes = ", ".join(reason["Code"] for reason in reasons)
            message = (
                "Transaction cancelled, please refer cancellation reasons for "
                f"specific reasons [{codes}]"
            )
            raise TableError("TransactionCanceledException", message, reasons)
        for kind, body in writes:
            pk, sk = _get_target(kind, body)
            rows = self.tables[body["TableName"]].setdefault(pk, {})
            if kind == "Put":
                rows[sk] = body["Item"]
            elif kind == "Delete":
                rows.pop(sk, None)
        if token:
            self.tokens[token] = (time.monotonic(), text)
        self.n_transactions += 1
        self.n_writes += sum(kind != "ConditionCheck" for kind, _ in writes)
        return {}

    def list_rows(self) -> list[dict]:
        """Return all rows with untyped values, ordered by table and key."""
        return [
            {"table": name, "values": _decode(item)}
            for name, table in sorted(self.tables.items())
            for _, rows in sorted(table.items())
            for _, item in sorted(rows.items())
        ]

    def _get_rows(self, name: str, pk: str) -> dict[str, Item]:
        return self.tables.setdefault(name, {}).get(pk, {})

    def _check_consistent(self, request: dict) -> None:
        # An eventually consistent read may be stale, so a client that requests one by
        # mistake is refused.
        if request.get("ConsistentRead") is not True:
            raise _build_validation_error(
                f"ConsistentRead must be true, got {request.get('ConsistentRead')!r}"
            )

    def _check_transaction(self, writes: list[tuple[str, dict]]) -> None:
        if not 1 <= len(writes) <= MAX_TRANSACTION_ITEMS:
            raise _build_validation_error(
                f"{len(writes)} items, expected 1 to {MAX_TRANSACTION_ITEMS}"
            )
        seen = set()
        n_bytes = 0
        for kind, body in writes:
            target = (body["TableName"], *_get_target(kind, body))
            if target in seen:
                raise _build_validation_error(
                    "Transaction request cannot include multiple operations"
                )
            seen.add(target)
            self.tables.setdefault(body["TableName"], {})
            size_bytes = measure_item(body.get("Item", {}))
            if size_bytes > MAX_ITEM_BYTES:
                raise _build_validation_error(
                    "Item size has exceeded the maximum allowed size"
                )
            n_bytes += size_bytes
        if n_bytes > MAX_TRANSACTION_BYTES:
            raise _build_validation_error("the transaction exceeds 4 MB")

    def _is_repeated_transaction(self, token: str, text: str) -> bool:
        oldest_kept_at = time.monotonic() - TOKEN_RETENTION_S
        while self.tokens:
            name, (stored_at, _) = next(iter(self.tokens.items()))
            if stored_at > oldest_kept_at:
                break
            del self.tokens[name]
        if not token or token not in self.tokens:
            return False
        if self.tokens[token][1] != text:
            message = "the token was used with other parameters"
            raise TableError("IdempotentParameterMismatchException", message)
        return True

    def _check_condition(self, kind: str, body: dict) -> dict:
        pk, sk = _get_target(kind, body)
        item = self._get_rows(body["TableName"], pk).get(sk)
        if _is_condition_met(body, item):
            return {"Code": "None"}
        reason = {
            "Code": "ConditionalCheckFailed",
            "Message": "The conditional request failed",
        }
        if body.get("ReturnValuesOnConditionCheckFailure") == "ALL_OLD" and item:
            reason["Item"] = item
        return reason


def measure_item(item: Item) -> int:
    """Return the size of an item in bytes, as the sum of names and values."""
    n_bytes = 0
    for name, typed in item.items():
        ((kind, value),) = typed.items()
        n_bytes += len(name.encode())
        if kind == "S":
            n_bytes += len(value.encode())
        elif kind == "B":
            n_bytes += len(base64.b64decode(value))
        else:
            n_bytes += len(str(value)) // 2 + 1
    return n_bytes


def _build_validation_error(message: str) -> TableError:
    return TableError("ValidationException", message)


def _read_key(key: Item) -> tuple[str, str]:
    try:
        return key["pk"]["S"], key["sk"]["S"]
    except (KeyError, TypeError):
        raise _build_validation_error(
            f"expected string keys pk and sk, got {key!r}"
        ) from None


def _read_write(item: dict) -> tuple[str, dict]:
    if len(item) != 1:
        raise _build_validation_error(
            f"expected one operation per item, got {len(item)}"
        )
    ((kind, body),) = item.items()
    if kind not in ("Put", "Delete", "ConditionCheck"):
        raise _build_validation_error(f"operation {kind!r} isn't supported")
    return kind, body


def _get_target(kind: str, body: dict) -> tuple[str, str]:
    return _read_key(body["Item"] if kind == "Put" else body["Key"])


def _is_condition_met(body: dict, item: Item | None) -> bool:
    expression = body.get("ConditionExpression", "")
    names = body.get("ExpressionAttributeNames", {})
    values = body.get("ExpressionAttributeValues", {})
    referenced = set()
    result = True
    for part in expression.split(" AND ") if expression else []:
        if part == "attribute_exists(pk)":
            result &= item is not None
        elif part == "attribute_not_exists(pk)":
            result &= item is None
        elif match := _EQUALITY_CONDITION.fullmatch(part):
            name, value = match.groups()
            if value not in values or (name[0] == "#" and name not in names):
                raise _build_validation_error(
                    f"{part!r} names an undefined name or value"
                )
            referenced |= {name, value}
            stored = (item or {}).get(names.get(name, name))
            result &= _are_values_equal(stored, values[value])
        else:
            raise _build_validation_error(f"condition {part!r} isn't supported")
    if unused := {*names, *values} - referenced:
        raise _build_validation_error(
            f"names or values unused in expressions: {sorted(unused)}"
        )
    return result


def _are_values_equal(stored: dict | None, wanted: dict) -> bool:
    if stored is None or stored.keys() != wanted.keys():
        return False
    if "N" in wanted:
        return Decimal(stored["N"]) == Decimal(wanted["N"])
    return stored == wanted


def _decode(item: Item) -> dict:
    values = {}
    for name, typed in item.items():
        ((kind, value),) = typed.items()
        is_integer = kind == "N" and value.lstrip("-").isdigit()
        number = int(value) if is_integer else None
        values[name] = number if is_integer else value
    return values
