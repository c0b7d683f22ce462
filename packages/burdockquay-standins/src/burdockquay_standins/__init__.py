"""Stand-ins of engines, plain services and the platform, for tests and benchmarks."""

from ._answers import expected_answer
from ._chat import parse_stream
from ._delay_line import DelayLine
from ._engine import EngineParameters, EngineStandin
from ._platform import PlatformParameters, PlatformStandin
from ._server import StandinServer
from ._service import ServiceParameters, ServiceStandin, service_digest

__all__ = [
    "DelayLine",
    "EngineParameters",
    "EngineStandin",
    "PlatformParameters",
    "PlatformStandin",
    "ServiceParameters",
    "ServiceStandin",
    "StandinServer",
    "expected_answer",
    "parse_stream",
    "service_digest",
]
