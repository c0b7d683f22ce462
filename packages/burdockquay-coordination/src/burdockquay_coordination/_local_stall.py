"""When a process counts itself as stalled, instead of the peers that it waits for."""

LOCAL_STALL_S = 0.3
"""Time between two checks beyond which this process itself counts as stalled, and not the peer that
it has received nothing from, seconds: messages received meanwhile have not been read yet."""
