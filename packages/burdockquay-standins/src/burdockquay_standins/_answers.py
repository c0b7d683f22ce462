"""Answers to chat requests, which depend on seed, model and messages only, not on the engine.

A resumed answer is therefore identical whichever engine continues it, and an answer that mixes two
requests or lacks a token is detected by comparing it with :func:`expected_answer`.
"""

from __future__ import annotations

import hashlib
import json
import random
from collections.abc import Mapping
from typing import Any

WORDS = 10_000
"""Size of the vocabulary, tokens."""
MEDIAN_TOKENS = 48
"""Median length of an answer that is not limited by ``max_tokens``."""
LENGTH_SIGMA = 0.7
"""Standard deviation of the logarithm of the length: one answer in six exceeds twice the median."""
DEFAULT_MAX_TOKENS = 512
ENGINE_BLOCK_CHARACTERS = 64
"""Characters of the prompt in one block of the prefix cache; they represent 16 tokens."""


def request_digest(body: Mapping[str, Any], seed: int) -> bytes:
    """Return the digest that determines the answer to a request body."""
    identity = [seed, body.get("model", ""), body.get("messages", [])]
    return hashlib.blake2b(json.dumps(identity, sort_keys=True).encode(), digest_size=16).digest()


def answer_limit(body: Mapping[str, Any]) -> int:
    """Return the largest number of tokens that the body allows."""
    limit = body.get("max_tokens")
    return DEFAULT_MAX_TOKENS if limit is None else limit


def expected_answer(body: Mapping[str, Any], seed: int) -> list[str]:
    """Return the tokens of the complete answer to a request body.

    Parameters
    ----------
    body : mapping
        Body of a chat request; only ``model``, ``messages``, ``max_tokens`` and ``min_tokens``
        affect the answer.
    seed : int
        Seed of the engines.

    Examples
    --------
    >>> body = {"model": "m", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 3}
    >>> expected_answer(body, seed=1) == expected_answer(dict(body, stream=True), seed=1)
    True
    >>> len(expected_answer(body, seed=1)) <= 3
    True
    """
    rng = random.Random(request_digest(body, seed))
    natural_length = max(1, round(MEDIAN_TOKENS * rng.lognormvariate(0.0, LENGTH_SIGMA)))
    count = min(max(natural_length, body.get("min_tokens", 1)), answer_limit(body))
    return [f"w{rng.randrange(WORDS)} " for _ in range(count)]


def prompt_blocks(body: Mapping[str, Any]) -> list[bytes]:
    """Return one digest per complete block of the prompt, which covers all blocks before it too."""
    text = json.dumps([body.get("model", ""), body.get("messages", [])])
    digest = hashlib.blake2b(digest_size=8)
    blocks = []
    for start in range(0, len(text) - ENGINE_BLOCK_CHARACTERS + 1, ENGINE_BLOCK_CHARACTERS):
        digest.update(text[start : start + ENGINE_BLOCK_CHARACTERS].encode())
        blocks.append(digest.digest())
    return blocks
