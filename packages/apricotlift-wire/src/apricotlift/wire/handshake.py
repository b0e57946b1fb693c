"""Mutual authentication of two nodes.

The opener sends ``Hello`` and the listener replies with its own ``Hello``. Then the
opener sends ``Proof`` and the listener replies with its own ``Proof``. A proof is an
HMAC-SHA-256 (RFC 2104) over the side that makes it and both hellos, keyed with the
cluster secret. Because each hello has a fresh nonce, a replayed proof is rejected.
Because the proof covers the side, a reflected proof is rejected.

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
    """What a node claims about itself.

    The incarnation may change while the process runs.
    """

    node_id: str
    incarnation: str
    failure_domain: str


class ProofSide(StrEnum):
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


def build_mac(secret: bytes, side: ProofSide, opener: Hello, listener: Hello) -> bytes:
    """Return the HMAC with which one side proves that it knows the secret.

    :param secret: the cluster secret.
    :param side: the side that makes the proof.
    :param opener: the hello that the opener sent.
    :param listener: the hello that the listener sent.
    """
    hellos = [[*hello.to_map().values()] for hello in (opener, listener)]
    signed = cbor2.dumps([_CONTEXT, str(side), *hellos])
    return hmac.digest(secret, signed, "sha256")


async def authenticate_as_opener(
    link: Link, identity: Identity, secret: bytes
) -> Identity:
    """Run the opener's side of the handshake and return the listener's identity.

    :raises ApricotliftError: ``PEER_UNAUTHENTICATED``, ``PEER_VERSION`` or
        ``PEER_PROTOCOL``.
    """
    own = build_hello(identity)
    await link.send(own)
    other = await _receive_hello(link, own)
    await link.send(Proof(build_mac(secret, ProofSide.OPENER, own, other)))
    expected = build_mac(secret, ProofSide.LISTENER, own, other)
    await _check_proof(link, [expected], other)
    return _build_identity(other)


async def authenticate_as_listener(
    link: Link, identity: Identity, *secrets: bytes
) -> Identity:
    """Run the listener's side of the handshake and return the opener's identity.

    :param secrets: the cluster secret, and earlier ones that peers may still use. The
        listener proves that it knows the one that the opener has used.
    :raises ApricotliftError: as :func:`authenticate_as_opener`.
    """
    own = build_hello(identity)
    other = await _receive_hello(link, own)
    await link.send(own)
    expected = [build_mac(secret, ProofSide.OPENER, other, own) for secret in secrets]
    index = await _check_proof(link, expected, other)
    await link.send(Proof(build_mac(secrets[index], ProofSide.LISTENER, other, own)))
    return _build_identity(other)


def check_secret(secret: bytes) -> None:
    """Reject a secret that is short enough to be guessed.

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
            Code.PEER_UNAUTHENTICATED,
            f"peer nonce isn't {NONCE_BYTES} bytes or repeats this node's nonce",
        )
    return hello


async def _check_proof(link: Link, expected: list[bytes], hello: Hello) -> int:
    """Return the index of the expected proof that the peer has sent."""
    proof = await _receive(link, Proof)
    matches = [hmac.compare_digest(proof.mac, mac) for mac in expected]
    if not any(matches):
        raise ApricotliftError(
            Code.PEER_UNAUTHENTICATED,
            f"peer that claims to be {hello.node_id[:40]!r} sent an invalid proof",
        )
    return matches.index(True)


async def _receive(link: Link, expected: type[_T]) -> _T:
    frame = await link.receive()
    if not isinstance(frame.message, expected):
        raise ApricotliftError(
            Code.PEER_PROTOCOL,
            f"handshake: expected {expected.kind}, got {frame.message.kind}",
        )
    return frame.message


def _build_identity(hello: Hello) -> Identity:
    return Identity(hello.node_id, hello.incarnation, hello.failure_domain)
