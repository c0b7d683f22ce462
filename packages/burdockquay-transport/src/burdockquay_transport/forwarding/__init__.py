"""The forwarder: passes callers' HTTP requests to upstreams unchanged.

A forwarder connects to the upstreams directly and stores nothing. The process is in
:mod:`burdockquay_transport.forwarding.forwarder`, so that the other roles do not import it.
"""

from burdockquay_protocol import ChangedRow

from ._entries import (
    IP_ADDRESS,
    MALFORMED_VALUE_ERRORS,
    Checks,
    EntryFaultError,
    ItemFaults,
    read_integer,
    read_row,
    read_text,
)
from ._entry_faults import EntryFaults
from ._feed_exchange import FeedExchange
from ._headers import end_to_end_headers
from ._platform import (
    AnswerFacts,
    CallerRequest,
    ConfigReading,
    ConfigSource,
    ForwardingPlatform,
    Member,
    MemberChanges,
    MemberRegistry,
    PlatformAddress,
    SendTerms,
    UpstreamSource,
    forwarding_platforms,
    load_adapters,
)
from ._settings import ForwarderPlatformSettings, ForwarderSettings
from ._table_feed import TableFeed
from ._table_store import TableReading, TableStore
from ._table_update import TableUpdate

__all__ = [
    "IP_ADDRESS",
    "MALFORMED_VALUE_ERRORS",
    "AnswerFacts",
    "CallerRequest",
    "ChangedRow",
    "Checks",
    "ConfigReading",
    "ConfigSource",
    "EntryFaultError",
    "EntryFaults",
    "ItemFaults",
    "FeedExchange",
    "ForwarderPlatformSettings",
    "ForwarderSettings",
    "ForwardingPlatform",
    "Member",
    "MemberChanges",
    "MemberRegistry",
    "PlatformAddress",
    "SendTerms",
    "TableFeed",
    "TableUpdate",
    "TableReading",
    "TableStore",
    "UpstreamSource",
    "forwarding_platforms",
    "load_adapters",
    "end_to_end_headers",
    "read_integer",
    "read_row",
    "read_text",
]
