"""Typed conversion between data classes and the body maps of frames.

A message class declares its fields with the types that :func:`build_decoder` knows.
Decoding rejects missing keys, unknown keys and values of another type, so message
handlers only receive values that the class declares. A field with the metadata
:data:`OMITTED_DEFAULT` may be missing, and is left out while it has its default value:
nodes of a build without the field reject it.
"""

import dataclasses
import types
import typing
from collections.abc import Callable, Mapping
from typing import Any, Self

from apricotlift.core.errors import ApricotliftError, Code

#: Largest absolute value of an integer in a message. It fits a signed 64-bit field
#: in implementations in other languages.
MAX_INTEGER = (1 << 63) - 1

#: Metadata of a field that is left out of the body map while it has its default value.
OMITTED_DEFAULT = {"is_default_omitted": True}

Scalar = str | int | float | bytes | bool
Decoder = Callable[[Any, str], Any]

_decoders: dict[type, dict[str, Decoder]] = {}
_omitted_defaults: dict[type, dict[str, Any]] = {}


class Record:
    """Base of data classes that are encoded as body maps."""

    def to_map(self) -> dict[str, Any]:
        """Return the body map of this record."""
        body = {
            name: _encode_value(getattr(self, name))
            for name in get_decoders(type(self))
        }
        for name, default in get_omitted_defaults(type(self)).items():
            if body[name] == default:
                del body[name]
        return body

    @classmethod
    def from_map(cls, body: object) -> Self:
        """Build the record from a decoded body map.

        :raises ApricotliftError: ``PEER_PROTOCOL`` on a wrong key or type.
        """
        decoders = get_decoders(cls)
        if not isinstance(body, Mapping):
            raise build_type_error(cls.__name__, body, "a map")
        omitted = {
            name: default
            for name, default in get_omitted_defaults(cls).items()
            if name not in body
        }
        # Looking values up with ``get`` would accept a missing key, and comparing key
        # sets fails on keys that have no order. So each declared key is looked up and
        # the sizes are compared.
        missing = [
            name for name in decoders if name not in body and name not in omitted
        ]
        if missing or len(body) != len(decoders) - len(omitted):
            unknown = [str(key)[:40] for key in body if key not in decoders]
            raise ApricotliftError(
                Code.PEER_PROTOCOL,
                f"{cls.__name__}: missing keys {missing}, unknown keys {unknown[:5]}",
            )
        values = {
            name: decode(body[name], f"{cls.__name__}.{name}")
            for name, decode in decoders.items()
            if name not in omitted
        }
        return cls(**values)


def get_omitted_defaults(cls: type) -> dict[str, Any]:
    """Return the default of each field that may be missing from a body map."""
    defaults = _omitted_defaults.get(cls)
    if defaults is None:
        defaults = {
            field.name: field.default
            for field in dataclasses.fields(cls)
            if field.metadata.get("is_default_omitted")
        }
        _omitted_defaults[cls] = defaults
    return defaults


def get_decoders(cls: type) -> dict[str, Decoder]:
    """Return the decoder of each field of a data class.

    Decoders are built at the first call for a class and cached.
    """
    decoders = _decoders.get(cls)
    if decoders is None:
        hints = typing.get_type_hints(cls)
        decoders = {
            field.name: build_decoder(hints[field.name])
            for field in dataclasses.fields(cls)
        }
        _decoders[cls] = decoders
    return decoders


def build_decoder(hint: Any) -> Decoder:
    """Return a function that checks and converts one decoded value.

    :param hint: ``int``, ``str``, ``bytes``, ``bool``, a union of scalars,
        ``list[...]``, ``dict[str, ...]`` or a :class:`Record` class.

    >>> build_decoder(list[int])([1, 2], "Example.numbers")
    [1, 2]
    """
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin is list:
        return _build_list_decoder(build_decoder(arguments[0]))
    if origin is dict:
        return _build_dict_decoder(build_decoder(arguments[1]))
    if origin is types.UnionType:
        return _build_scalar_decoder(arguments)
    if isinstance(hint, type) and issubclass(hint, Record):
        return lambda value, place: hint.from_map(value)
    return _build_scalar_decoder((hint,))


def build_type_error(place: str, value: object, expected: str) -> ApricotliftError:
    """Return the error for a value of the wrong type.

    The message names only the type, because the value may be a client account's data.
    """
    return ApricotliftError(
        Code.PEER_PROTOCOL, f"{place}: expected {expected}, got {type(value).__name__}"
    )


def _build_scalar_decoder(accepted: tuple[type, ...]) -> Decoder:
    # Compares ``type``, because ``isinstance(True, int)`` is true.
    names = " or ".join(kind.__name__ for kind in accepted)

    def decode(value: Any, place: str) -> Any:
        if type(value) not in accepted:
            raise build_type_error(place, value, names)
        if type(value) is int and not -MAX_INTEGER <= value <= MAX_INTEGER:
            raise ApricotliftError(
                Code.PEER_PROTOCOL, f"{place}: expected a signed 64-bit integer"
            )
        return value

    return decode


def _build_list_decoder(decode_item: Decoder) -> Decoder:
    def decode(value: Any, place: str) -> list:
        if type(value) is not list:
            raise build_type_error(place, value, "a list")
        return [decode_item(item, place) for item in value]

    return decode


def _build_dict_decoder(decode_item: Decoder) -> Decoder:
    def decode(value: Any, place: str) -> dict:
        if type(value) is not dict:
            raise build_type_error(place, value, "a map")
        for key in value:
            if type(key) is not str:
                raise build_type_error(place, key, "a string key")
        return {key: decode_item(item, place) for key, item in value.items()}

    return decode


def _encode_value(value: Any) -> Any:
    if isinstance(value, Record):
        return value.to_map()
    if isinstance(value, list):
        return [_encode_value(item) for item in value]
    return value
