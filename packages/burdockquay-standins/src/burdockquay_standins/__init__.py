"""Stand-ins for model engines, plain services and the platform, for tests and benchmarks."""

from ._answers import expected_answer
from ._chat import parse_stream
from ._cut_answer import ENDINGS, cut_answer
from ._delay_line import DelayLine
from ._endless_answer import EndlessAnswer
from ._engine import EngineParameters, EngineStandin
from ._faulty_relay import FaultyRelay, RelayState
from ._feed_table import EraEndedError, FeedCopy, FeedRow, FeedStore, HistoryDiscardedError
from ._head_fuzz import FuzzResult, fuzz_heads
from ._odd_answer import (
    MALFORMED_ANSWERS,
    PARTIAL_ANSWERS,
    UNUSUAL_ANSWERS,
    OddAnswer,
    send_odd_answer,
)
from ._platform import PlatformParameters, PlatformStandin
from ._raw_server import Behaviour, RawConnection, RawRequest, RawServer
from ._server import StandinServer
from ._service import ServiceParameters, ServiceStandin, service_digest

__all__ = [
    "ENDINGS",
    "MALFORMED_ANSWERS",
    "PARTIAL_ANSWERS",
    "UNUSUAL_ANSWERS",
    "Behaviour",
    "DelayLine",
    "EndlessAnswer",
    "EngineParameters",
    "EngineStandin",
    "EraEndedError",
    "FeedCopy",
    "FeedRow",
    "FeedStore",
    "HistoryDiscardedError",
    "FaultyRelay",
    "FuzzResult",
    "RelayState",
    "OddAnswer",
    "PlatformParameters",
    "PlatformStandin",
    "RawConnection",
    "RawRequest",
    "RawServer",
    "ServiceParameters",
    "ServiceStandin",
    "StandinServer",
    "cut_answer",
    "expected_answer",
    "fuzz_heads",
    "parse_stream",
    "send_odd_answer",
    "service_digest",
]
