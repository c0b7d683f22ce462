"""Prompt that was sent to an upstream."""

from __future__ import annotations

import attrs

from burdockquay_coordination.forwarding import Placement, Prompt


@attrs.define(eq=False)
class SentPrompt:
    """A prompt that was sent to an upstream and has no first token yet.

    Parameters
    ----------
    call : str
        Id of the request.
    prompt : Prompt
    placement : Placement
    ahead : int
        Prompt tokens that the upstream has to read before it; 0 if it overtakes others.
    sent_at : float
    """

    call: str
    prompt: Prompt
    placement: Placement
    ahead: int
    sent_at: float
