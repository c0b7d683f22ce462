"""A prompt that was sent to an upstream."""

from __future__ import annotations

import attrs

from burdockquay_coordination.forwarding import Placement, Prompt


@attrs.define(eq=False)
class SentPrompt:
    """A prompt on its way at an upstream, until its first token.

    Parameters
    ----------
    call : str
        Id of the request.
    prompt : Prompt
    placement : Placement
    ahead : int
        Prompt tokens that were to be read before; none where it overtakes others.
    sent_at : float
    """

    call: str
    prompt: Prompt
    placement: Placement
    ahead: int
    sent_at: float
