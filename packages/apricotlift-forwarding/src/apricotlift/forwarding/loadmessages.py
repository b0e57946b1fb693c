"""Builds and reads the messages with load sums."""

import math

from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.forwarding.loadcodes import (
    EngineList,
    decode_columns,
    decode_entries,
    encode_columns,
    encode_entries,
)
from apricotlift.forwarding.loadsums import NodeSums, Notices
from apricotlift.wire.messages import LoadReport, LoadShare, LoadSums

REFUSAL_BYTES = 8

#: Bytes of a message, with its request or reply and the headers of frames, apart from
#: the parts that vary. Measured with 8 bytes for each header.
_REPORT_BYTES = 200
_SUMS_BYTES = 180
_SHARE_BYTES = 210


def build_report(
    engines: EngineList, report: NodeSums, notices: Notices, echo: tuple[int, int]
) -> LoadReport:
    """Return the message with a node's own load.

    :param echo: the receiver's last stamp, and for how many ms it has been held.
    """
    return LoadReport(
        engines.digest,
        encode_entries(engines, report.sums),
        report.n_parts,
        report.n_part_tokens,
        b"".join(notices.refusals),
        list(notices.orders),
        *echo,
    )


def read_report(engines: EngineList, message: LoadReport, built_at: float) -> NodeSums:
    """Return the load in a report.

    :raises ApricotliftError: ``peer_protocol`` if it doesn't match the list of engines.
    """
    sums = _decode(decode_entries, engines, message.entries)
    return NodeSums(built_at, sums, 1, message.n_parts, message.n_part_tokens)


def build_sums(
    engines: EngineList, sums: NodeSums, notices: Notices, now: float
) -> LoadSums:
    """Return the message with the load from several nodes."""
    return LoadSums(
        engines.digest,
        encode_columns(engines, sums.sums),
        sums.n_nodes,
        math.ceil((now - sums.built_at) * 1000),
        sums.n_parts,
        sums.n_part_tokens,
        b"".join(notices.refusals),
        list(notices.orders),
    )


def read_sums(engines: EngineList, message: LoadSums, built_at: float) -> NodeSums:
    """Return the load in a share or total.

    :raises ApricotliftError: ``peer_protocol`` if it doesn't match the list of engines.
    """
    return NodeSums(
        built_at,
        _decode(decode_columns, engines, message.columns),
        message.n_nodes,
        message.n_parts,
        message.n_part_tokens,
    )


def read_notices(message: LoadReport | LoadSums) -> Notices:
    """Return the refusals and orders in a message."""
    data = message.refusals
    refusals = tuple(
        data[start : start + REFUSAL_BYTES]
        for start in range(0, len(data), REFUSAL_BYTES)
    )
    return Notices(refusals, tuple(message.orders))


def estimate_bytes(message: LoadReport | LoadSums | LoadShare) -> int:
    """Return the bytes that a message takes, with its request or reply."""
    if isinstance(message, LoadShare):
        return _SHARE_BYTES + _count_varying_bytes(message.sums)
    if isinstance(message, LoadSums):
        return _SUMS_BYTES + _count_varying_bytes(message)
    return _REPORT_BYTES + len(message.entries) + len(message.refusals)


def _count_varying_bytes(message: LoadSums) -> int:
    orders_bytes = sum(len(order) for order in message.orders)
    return len(message.columns) + len(message.refusals) + orders_bytes


def _decode(decode, engines, data: bytes):
    try:
        return decode(engines, data)
    except ValueError as error:
        raise ApricotliftError(Code.PEER_PROTOCOL, str(error)) from error
