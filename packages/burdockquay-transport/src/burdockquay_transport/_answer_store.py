"""Conversion between the parts of an answer and its stored form."""

from __future__ import annotations

from burdockquay_protocol import AnswerEnd, AnswerHead
from burdockquay_state import StoredAnswer

from ._upstream import AnswerPart, BodyPiece, Token


class AnswerCollector:
    """Collects the parts of an answer while they are forwarded."""

    def __init__(self):
        self._head = AnswerHead(200, [])
        self._pieces: list[bytes] = []
        self._end = AnswerEnd(0, 0, "")

    def add(self, part: AnswerPart) -> None:
        """Add the next part."""
        if isinstance(part, Token):
            self._pieces.append(part.text.encode())
        elif isinstance(part, BodyPiece):
            self._pieces.append(part.data)
        elif isinstance(part, AnswerHead):
            self._head = part
        else:
            self._end = part

    def answer(self) -> StoredAnswer:
        """Return the complete answer."""
        return StoredAnswer(
            self._head.status,
            self._head.headers,
            b"".join(self._pieces),
            self._end.prompt_tokens,
            self._end.generated_tokens,
            self._end.finish_reason,
        )


def split_answer(answer: StoredAnswer) -> tuple[AnswerHead, bytes, AnswerEnd]:
    """Return head, body and end of a stored answer."""
    return (
        AnswerHead(answer.status, answer.headers),
        answer.body,
        AnswerEnd(answer.prompt_tokens, answer.generated_tokens, answer.finish_reason),
    )
