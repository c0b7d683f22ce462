"""Messages between the processes, their codec and handshake, and the closed list of errors."""

from burdockquay_state._lazy import lazy_exports

_EXPORTS = {
    "burdockquay_state": (
        "LogEntry",
        "LogPart",
    ),
    "._codec": (
        "MAX_BODY_BYTES",
        "MAX_FRAME_BYTES",
        "FaultKind",
        "ProtocolFault",
        "decode",
        "decode_part",
        "encode",
        "encode_part",
        "structure_fields",
    ),
    "._errors": (
        "ANSWERS",
        "Answer",
        "ErrorKind",
        "RequestError",
        "RunState",
    ),
    "._forwarder_messages": (
        "ChangedRow",
        "KeysHonoured",
        "PromptPart",
        "TableChanges",
        "UpstreamCrash",
        "UpstreamLoad",
        "UpstreamLoads",
    ),
    "._handshake": (
        "NONCE_BYTES",
        "check_proof",
        "choose_version",
        "make_proof",
    ),
    "._messages": (
        "PART_BODY",
        "PART_END",
        "PART_HEAD",
        "PART_TOKEN",
        "PROTOCOL_VERSIONS",
        "AnswerEnd",
        "AnswerHead",
        "Cancel",
        "ClassDemand",
        "Demand",
        "Failed",
        "FetchLog",
        "Frame",
        "Frames",
        "Goodbye",
        "Grant",
        "Heartbeat",
        "Hello",
        "NotRun",
        "Proof",
        "ReturnGrant",
        "Run",
        "SlotStatus",
        "Suspicion",
        "Suspicions",
        "Welcome",
        "message_types",
    ),
}

__getattr__, __dir__, __all__ = lazy_exports(__name__, _EXPORTS)
