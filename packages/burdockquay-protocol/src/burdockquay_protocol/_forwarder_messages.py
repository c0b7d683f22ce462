"""The messages between forwarders: what each has at the upstreams, and crashes."""

from __future__ import annotations

import attrs

from ._messages import message


@attrs.frozen
class PromptPart:
    """Part of a prompt that many requests may share.

    Parameters
    ----------
    id : str
    tokens : int
    """

    id: str
    tokens: int


@attrs.frozen
class UpstreamLoad:
    """What one forwarder has at one upstream.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    prompt_tokens : int
        Prompt tokens whose first answer token has not come.
    running : int
        Requests.
    parts : list of PromptPart
        Prompt parts that were sent there since the last message.
    """

    upstream: str
    prompt_tokens: int
    running: int
    parts: list[PromptPart]


@message(30, since=3)
@attrs.frozen
class UpstreamLoads:
    """All that a forwarder has at upstreams now; one that is not named has nothing of it."""

    loads: list[UpstreamLoad]


@message(31, since=3)
@attrs.frozen
class UpstreamCrash:
    """An upstream went down while a forwarder's requests ran there.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    digests : list of str
        Digests of these requests.
    """

    upstream: str
    digests: list[str]


@message(32, since=4)
@attrs.frozen
class KeysHonoured:
    """Whether the configuration of a forwarder is recent enough to honour API keys."""

    honoured: bool
