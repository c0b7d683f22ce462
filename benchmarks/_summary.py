"""Summary figures of callers' results."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from _callers import CallResult

from burdockquay_state import ClassRecord

WRONG_OUTCOMES = frozenset({"mixed", "truncated"})


def attained(result: CallResult, target: ClassRecord) -> bool:
    """Return whether an answer was complete and met both latency targets of its class."""
    return (
        result.outcome == "whole"
        and result.first_token_s <= target.first_token_target_s
        and result.between_tokens_s <= target.between_tokens_target_s
    )


def attainment(
    results: Sequence[CallResult], classes: Mapping[str, ClassRecord]
) -> dict[str, float]:
    """Return, by class, the share of all requests sent that attained its targets."""
    sent = Counter(result.class_name for result in results)
    met = Counter(
        result.class_name for result in results if attained(result, classes[result.class_name])
    )
    return {name: met[name] / sent[name] for name in sorted(sent)}


def goodput_tokens(results: Iterable[CallResult], classes: Mapping[str, ClassRecord]) -> int:
    """Return the tokens of the answers that attained their targets."""
    return sum(result.tokens for result in results if attained(result, classes[result.class_name]))


def delivered_tokens(results: Iterable[CallResult]) -> int:
    """Return the tokens of complete answers."""
    return sum(result.tokens for result in results if result.outcome == "whole")


def failures(results: Iterable[CallResult]) -> Counter[tuple[str, str, str]]:
    """Count the requests without a complete answer, by class, outcome and error."""
    return Counter(
        (result.class_name, result.outcome, result.error)
        for result in results
        if result.outcome != "whole"
    )


def wrong_answers(results: Iterable[CallResult]) -> int:
    """Count the answers that ended as complete but were not the expected answer."""
    return sum(result.outcome in WRONG_OUTCOMES for result in results)
