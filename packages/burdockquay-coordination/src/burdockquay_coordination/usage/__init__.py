"""Usage reports: who reports, what is counted, and when it is reported.

One process at a time reports to the platform how many requests of each organisation began to run
in each window of the time of day. All times are arguments; no module reads a clock or a socket.
"""

from ._counts import KEPT_WINDOWS, UsageCounter, UsageLedger, WindowCounts
from ._plan import Delivery, ReportPlan, ReportTask, ReportTerms, UsageReport, UsageSink
from ._reporter import DutyChange, UsageReporter
from ._time_of_day import TimeOfDay

__all__ = [
    "Delivery",
    "DutyChange",
    "KEPT_WINDOWS",
    "ReportPlan",
    "ReportTask",
    "ReportTerms",
    "TimeOfDay",
    "UsageCounter",
    "UsageLedger",
    "UsageReport",
    "UsageReporter",
    "UsageSink",
    "WindowCounts",
]
