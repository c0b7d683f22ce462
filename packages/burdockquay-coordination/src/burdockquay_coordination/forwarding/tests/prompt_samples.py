"""Prompts and waiting requests for the tests of placement and of the queue."""

from burdockquay_coordination.forwarding import (
    Demand,
    Prompt,
    ServiceTargets,
    WaitingPrompt,
    place_prompt,
)

TARGETS = ServiceTargets(tightest_s=0.25, most_urgent=0, least_urgent=1)


def place(upstreams, prompt, model, now):
    return place_prompt(upstreams, Demand(prompt, 0.25, 5.0), model, (), now)


def long_prompt(number=0):
    return Prompt((("all", 2000), (f"shared-{number % 3}", 4000), (f"own-{number}", 3000)), 40)


def short_prompt(number=0):
    return Prompt((("chat", 200), (f"short-{number}", 600)), 300)


def make_waiting(prompt, now, urgency, target_s, hold_s=1.5):
    demand = Demand(prompt, target_s, 5.0)
    return WaitingPrompt(demand, urgency, now + target_s, now + hold_s, ())
