"""CBOR encoding of messages, and validation of received bytes."""

from __future__ import annotations

import enum
import math
from typing import Any

import attrs
import cattrs
import cbor2
from result import Err, Ok, Result

from burdockquay_state import Fork, LogEntry

from . import _forwarder_messages, _messages, _table_messages
from ._errors import ErrorKind
from ._forwarder_messages import PromptPart, UpstreamLoad, UpstreamOutcome
from ._messages import Frame, Frames, message_types

MAX_FRAME_BYTES = 1 << 22
"""Largest encoded message between processes, bytes."""

MAX_BODY_BYTES = 1 << 21
"""Largest request or answer body, bytes; smaller than a message, which also has other fields."""


MIN_INTEGER = -(1 << 63)
MAX_INTEGER = (1 << 64) - 1
"""Smallest and largest integer in a message."""

ENCODE_ERRORS = (cbor2.CBOREncodeError, OverflowError, TypeError, ValueError)
"""Errors that :func:`encode` raises for a message with a value that CBOR cannot express."""


class FaultKind(enum.Enum):
    """What is wrong with received bytes."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown_type"
    WRONG_VERSION = "wrong_version"


@attrs.frozen
class ProtocolFault:
    """Error for bytes that are not a message of the agreed protocol version."""

    kind: FaultKind
    detail: str


_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE, detailed_validation=False
)


_MODULES = (_messages, _forwarder_messages, _table_messages)

for _cls in (Fork, LogEntry, *(item for module in _MODULES for item in vars(module).values())):
    if isinstance(_cls, type) and attrs.has(_cls):
        attrs.resolve_types(_cls)


def _require_exact_type(kind: type) -> None:
    """Make the converter reject values of another type instead of converting them."""

    def structure(value: Any, _: type) -> Any:
        if type(value) is not kind:
            raise TypeError(f"expected {kind.__name__}, got {type(value).__name__}")
        return value

    _converter.register_structure_hook(kind, structure)


def _structure_float(value: Any, _: type) -> float:
    # With NaN, a peer would win or lose every comparison of scores.
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError(f"expected a finite number, got {value!r}")
    return float(value)


_converter.register_structure_hook(float, _structure_float)
for _kind in (str, bytes, bool):
    _require_exact_type(_kind)


def _structure_int(value: Any, _: type = int) -> int:
    # CBOR has integers of any size; a larger one fails in the arithmetic of its receiver.
    if type(value) is not int or not MIN_INTEGER <= value <= MAX_INTEGER:
        raise TypeError("expected an integer of at most 64 bits")
    return value


_converter.register_structure_hook(int, _structure_int)
_converter.register_structure_hook(ErrorKind, lambda value, _: ErrorKind(value))
_converter.register_unstructure_hook(ErrorKind, lambda kind: kind.value)


def _structure_frame(value: Any, _: type) -> Frame:
    # Written by hand for speed: an entry decodes a frame for nearly every token it relays.
    request, attempt, sequence, part, data = value
    if not (
        type(request) is str
        and type(attempt) is int
        and type(sequence) is int
        and type(part) is int
        and type(data) is bytes
    ):
        raise TypeError("expected Frame(str, int, int, int, bytes)")
    return Frame(request, attempt, sequence, part, data)


_converter.register_structure_hook(Frame, _structure_frame)


def _unstructure_frames(message: Frames) -> list:
    return [
        [
            [frame.request, frame.attempt, frame.sequence, frame.part, frame.data]
            for frame in message.frames
        ]
    ]


_converter.register_unstructure_hook(Frames, _unstructure_frames)


# Loads and outcomes are most of what forwarders exchange. The general functions of the converter,
# which look up the type of each field, take twice as long to decode a message with six loads.


def _structure_part(value: Any, _: type = PromptPart) -> PromptPart:
    id_, tokens, *_rest = value
    if type(id_) is not str:
        raise TypeError("expected PromptPart(str, int)")
    return PromptPart(id_, _structure_int(tokens))


def _structure_load(value: Any, _: type = UpstreamLoad) -> UpstreamLoad:
    upstream, tokens, running, parts, *_rest = value
    if type(upstream) is not str:
        raise TypeError("expected UpstreamLoad(str, int, int, list)")
    listed = [_structure_part(part) for part in parts]
    return UpstreamLoad(upstream, _structure_int(tokens), _structure_int(running), listed)


def _structure_outcome(value: Any, _: type = UpstreamOutcome) -> UpstreamOutcome:
    upstream, whole, failed, unreachable, *_rest = value
    if type(upstream) is not str:
        raise TypeError("expected UpstreamOutcome(str, int, int, int)")
    counts = [_structure_int(count) for count in (whole, failed, unreachable)]
    return UpstreamOutcome(upstream, *counts)


def _unstructure_load(load: UpstreamLoad) -> tuple:
    parts = [(part.id, part.tokens) for part in load.parts]
    return (load.upstream, load.prompt_tokens, load.running, parts)


def _unstructure_outcome(outcome: UpstreamOutcome) -> tuple:
    return (outcome.upstream, outcome.whole, outcome.failed, outcome.unreachable)


_converter.register_structure_hook(PromptPart, _structure_part)
_converter.register_structure_hook(UpstreamLoad, _structure_load)
_converter.register_structure_hook(UpstreamOutcome, _structure_outcome)
_converter.register_unstructure_hook(PromptPart, lambda part: (part.id, part.tokens))
_converter.register_unstructure_hook(UpstreamLoad, _unstructure_load)
_converter.register_unstructure_hook(UpstreamOutcome, _unstructure_outcome)


def encode(message: Any) -> bytes:
    """Return the encoded message.

    Examples
    --------
    >>> from burdockquay_protocol import Heartbeat
    >>> encode(Heartbeat(7)).hex()
    '820d07'
    """
    return cbor2.dumps([message.number, *_converter.unstructure(message)])


def decode(data: bytes, version: int) -> Result[Any, ProtocolFault]:
    """Decode and validate one message.

    Parameters
    ----------
    data : bytes
    version : int
        The agreed protocol version.

    Returns
    -------
    Result of message, ProtocolFault

    Examples
    --------
    >>> decode(bytes.fromhex("820d07"), version=1)
    Ok(Heartbeat(revision=7))
    >>> decode(b"no", version=1).err().kind
    <FaultKind.MALFORMED: 'malformed'>
    """
    if len(data) > MAX_FRAME_BYTES:
        return _fault(FaultKind.OVERSIZED, f"{len(data)} bytes, limit {MAX_FRAME_BYTES}")
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return _fault(FaultKind.MALFORMED, f"no CBOR: {type(error).__name__}")
    if not isinstance(items, list) or not items or type(items[0]) is not int:
        return _fault(FaultKind.MALFORMED, "expected an array that starts with a type number")
    cls = message_types.get(items[0])
    if cls is None:
        return _fault(FaultKind.UNKNOWN_TYPE, f"type number {items[0]}")
    if cls.since > version:
        return _fault(FaultKind.WRONG_VERSION, f"{cls.__name__} needs version {cls.since}")
    return structure_fields(cls, items[1:])


def structure_fields(cls: type, items: list) -> Result[Any, ProtocolFault]:
    """Return an instance of an attrs class from its decoded field values, in field order."""
    if len(items) != len(attrs.fields(cls)):
        expected = len(attrs.fields(cls))
        return _fault(
            FaultKind.MALFORMED, f"{cls.__name__}: expected {expected} fields, got {len(items)}"
        )
    try:
        return Ok(_converter.structure(items, cls))
    except (TypeError, ValueError, KeyError, AttributeError, OverflowError) as error:
        return _fault(FaultKind.MALFORMED, f"{cls.__name__}: {error}")


def encode_part(part: Any) -> bytes:
    """Return the encoded part of a message, such as an :class:`AnswerHead`."""
    return cbor2.dumps(_converter.unstructure(part))


def decode_part(cls: type, data: bytes) -> Result[Any, ProtocolFault]:
    """Decode and validate a message part of type ``cls``."""
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return _fault(FaultKind.MALFORMED, f"no CBOR: {type(error).__name__}")
    if not isinstance(items, list):
        return _fault(FaultKind.MALFORMED, f"{cls.__name__}: expected an array")
    return structure_fields(cls, items)


def _fault(kind: FaultKind, detail: str) -> Err[ProtocolFault]:
    return Err(ProtocolFault(kind, detail))
