"""Mutual authentication of two nodes.

The opener sends ``Hello``, the listener answers with its own; then the opener sends
``Proof`` and the listener answers with its own. A proof is an HMAC-SHA-256 (RFC
2104) over the direction and both hellos, keyed with the cluster secret. Fresh
nonces make a replayed proof fail, and the direction makes a reflected one fail.

Without TLS the frames after the handshake have no integrity protection.
"""

import hmac
import secrets
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

import cbor2
from apricotlift.core.errors import ApricotliftError, Code
from apricotlift.wire.links import Link
from apricotlift.wire.messages import PROTOCOL, Hello, Message, Proof

NONCE_BYTES = 32
MIN_SECRET_BYTES = 16

_T = TypeVar("_T", bound=Message)

_CONTEXT = "apricotlift peer handshake"


@dataclass(frozen=True)
class Identity:
    """Who a node says it is; the incarnation changes while the process runs."""

    node_id: str
    incarnation: str
    failure_domain: str


class Direction(StrEnum):
    """The side that makes a proof."""

    OPENER = "opener"
    LISTENER = "listener"


def build_hello(identity: Identity) -> Hello:
    """Return a hello with a fresh nonce."""
    return Hello(
        protocol=PROTOCOL,
        node_id=identity.node_id,
        incarnation=identity.incarnation,
        failure_domain=identity.failure_domain,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )


def build_mac(
    secret: bytes, direction: Direction, opener: Hello, listener: Hello
) -> bytes:
    """Return the proof of one side over both hellos.

    :param secret: the cluster secret.
    :param direction: the side that makes the proof.
    """
    hellos = [[*hello.to_map().values()] for hello in (opener, listener)]
    signed = cbor2.dumps([_CONTEXT, str(direction), *hellos])
    return hmac.digest(secret, signed, "sha256")


async def authenticate_as_opener(
    link: Link, identity: Identity, secret: bytes
) -> Identity:
    """Run the opener's side and return who the listener is.

    :raises ApricotliftError: ``PEER_UNAUTHENTICATED``, ``PEER_VERSION`` or
        ``PEER_PROTOCOL``.
    """
    own = build_hello(identity)
    await link.send(own)
    other = await _receive_hello(link, own)
    await link.send(Proof(build_mac(secret, Direction.OPENER, own, other)))
    expected = build_mac(secret, Direction.LISTENER, own, other)
    await _check_proof(link, expected, other)
    return _build_identity(other)


async def authenticate_as_listener(
    link: Link, identity: Identity, secret: bytes
) -> Identity:
    """Run the listener's side and return who the opener is.

    :raises ApricotliftError: as :func:`authenticate_as_opener`.
    """
    own = build_hello(identity)
    other = await _receive_hello(link, own)
    await link.send(own)
    expected = build_mac(secret, Direction.OPENER, other, own)
    await _check_proof(link, expected, other)
    await link.send(Proof(build_mac(secret, Direction.LISTENER, other, own)))
    return _build_identity(other)


def check_secret(secret: bytes) -> None:
    """Refuse a secret that is short enough to be guessed.

    :raises ApricotliftError: ``BAD_SETTINGS``.
    """
    if len(secret) < MIN_SECRET_BYTES:
        raise ApricotliftError(
            Code.BAD_SETTINGS,
            f"the cluster secret has {len(secret)} bytes, "
            f"at least {MIN_SECRET_BYTES} are needed",
        )


async def _receive_hello(link: Link, own: Hello) -> Hello:
    hello = await _receive(link, Hello)
    if hello.protocol != PROTOCOL:
        raise ApricotliftError(
            Code.PEER_VERSION,
            f"peer {hello.node_id[:40]!r} speaks protocol {hello.protocol}, "
            f"this node speaks {PROTOCOL}",
        )
    if len(hello.nonce) != NONCE_BYTES or hello.nonce == own.nonce:
        raise ApricotliftError(
            Code.PEER_UNAUTHENTICATED, f"peer nonce isn't {NONCE_BYTES} fresh bytes"
        )
    return hello


async def _check_proof(link: Link, expected: bytes, hello: Hello) -> None:
    proof = await _receive(link, Proof)
    if not hmac.compare_digest(proof.mac, expected):
        raise ApricotliftError(
            Code.PEER_UNAUTHENTICATED,
            f"peer that calls itself {hello.node_id[:40]!r} has no valid proof",
        )


async def _receive(link: Link, expected: type[_T]) -> _T:
    frame = await link.receive()
    if not isinstance(frame.message, expected):
        raise ApricotliftError(
            Code.PEER_PROTOCOL,
            f"expected {expected.kind} in the handshake, got {frame.message.kind}",
        )
    return frame.message


def _build_identity(hello: Hello) -> Identity:
    return Identity(hello.node_id, hello.incarnation, hello.failure_domain)
