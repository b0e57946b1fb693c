"""The table service of the platform stand-in: a subset of Amazon DynamoDB.

Serves ``GetItem``, ``Query`` by partition key and ``TransactWriteItems`` of the JSON
protocol, API version 2012-08-10, with the limits and error types that the published
protocol names. Other requests are refused with ``ValidationException``.
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
#: The protocol remembers a ``ClientRequestToken`` for ten minutes.
TOKEN_S = 600.0

_EQUALS = re.compile(r"(#\w+|\w+) = (:\w+)")

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
    """All tables, and how much was read and written."""

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
        """Answer ``Query``: one page in the order of the sort keys."""
        self._check_consistent(request)
        if request["KeyConditionExpression"] != "pk = :pk":
            raise _refuse("KeyConditionExpression must be 'pk = :pk'")
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
        """Answer ``TransactWriteItems``: all writes or none."""
        writes = [_read_write(item) for item in request["TransactItems"]]
        self._check_transaction(writes)
        token = request.get("ClientRequestToken", "")
        text = json.dumps(request["TransactItems"], sort_keys=True)
        if self._is_repeat(token, text):
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
        """Return all rows with plain values, by table and key."""
        return [
            {"table": name, "values": _decode(item)}
            for name, table in sorted(self.tables.items())
            for _, rows in sorted(table.items())
            for _, item in sorted(rows.items())
        ]

    def _get_rows(self, name: str, pk: str) -> dict[str, Item]:
        return self.tables.setdefault(name, {}).get(pk, {})

    def _check_consistent(self, request: dict) -> None:
        # Eventually consistent reads may be stale, so a client that asks for one
        # by mistake has to show.
        if request.get("ConsistentRead") is not True:
            raise _refuse("this stand-in serves consistent reads only")

    def _check_transaction(self, writes: list[tuple[str, dict]]) -> None:
        if not 1 <= len(writes) <= MAX_TRANSACTION_ITEMS:
            raise _refuse(f"{len(writes)} items, expected 1 to {MAX_TRANSACTION_ITEMS}")
        seen = set()
        n_bytes = 0
        for kind, body in writes:
            target = (body["TableName"], *_get_target(kind, body))
            if target in seen:
                raise _refuse("Transaction request cannot include multiple operations")
            seen.add(target)
            self.tables.setdefault(body["TableName"], {})
            size_bytes = measure_item(body.get("Item", {}))
            if size_bytes > MAX_ITEM_BYTES:
                raise _refuse("Item size has exceeded the maximum allowed size")
            n_bytes += size_bytes
        if n_bytes > MAX_TRANSACTION_BYTES:
            raise _refuse("the transaction exceeds 4 MB")

    def _is_repeat(self, token: str, text: str) -> bool:
        oldest = time.monotonic() - TOKEN_S
        while self.tokens:
            name, (stored_at, _) = next(iter(self.tokens.items()))
            if stored_at > oldest:
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
        if _holds(body, item):
            return {"Code": "None"}
        reason = {
            "Code": "ConditionalCheckFailed",
            "Message": "The conditional request failed",
        }
        if body.get("ReturnValuesOnConditionCheckFailure") == "ALL_OLD" and item:
            reason["Item"] = item
        return reason


def measure_item(item: Item) -> int:
    """Return the size of an item in bytes, names and values."""
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


def _refuse(message: str) -> TableError:
    return TableError("ValidationException", message)


def _read_key(key: Item) -> tuple[str, str]:
    try:
        return key["pk"]["S"], key["sk"]["S"]
    except (KeyError, TypeError):
        raise _refuse(f"expected string keys pk and sk, got {key!r}") from None


def _read_write(item: dict) -> tuple[str, dict]:
    if len(item) != 1:
        raise _refuse("expected one operation per item")
    ((kind, body),) = item.items()
    if kind not in ("Put", "Delete", "ConditionCheck"):
        raise _refuse(f"operation {kind!r} isn't served")
    return kind, body


def _get_target(kind: str, body: dict) -> tuple[str, str]:
    return _read_key(body["Item"] if kind == "Put" else body["Key"])


def _holds(body: dict, item: Item | None) -> bool:
    expression = body.get("ConditionExpression", "")
    names = body.get("ExpressionAttributeNames", {})
    values = body.get("ExpressionAttributeValues", {})
    used = set()
    result = True
    for part in expression.split(" AND ") if expression else []:
        if part == "attribute_exists(pk)":
            result &= item is not None
        elif part == "attribute_not_exists(pk)":
            result &= item is None
        elif match := _EQUALS.fullmatch(part):
            name, value = match.groups()
            if value not in values or (name[0] == "#" and name not in names):
                raise _refuse(f"{part!r} names an undefined name or value")
            used |= {name, value}
            stored = (item or {}).get(names.get(name, name))
            result &= _equals(stored, values[value])
        else:
            raise _refuse(f"condition {part!r} isn't served")
    if unused := {*names, *values} - used:
        raise _refuse(f"unused in expressions: {sorted(unused)}")
    return result


def _equals(stored: dict | None, wanted: dict) -> bool:
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
