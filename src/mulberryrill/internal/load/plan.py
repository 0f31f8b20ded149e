"""Plans the arrivals of a load run: a pure function of the workload and the seed."""

import random
import string
from dataclasses import dataclass

from ..schema.load_pb2 import LoadClass, Workload

_ALPHABET = string.ascii_lowercase + "     "


@dataclass(frozen=True)
class PlannedRequest:
    """One request; ``at_s`` counts from the start of the run."""

    at_s: float
    load_class: str
    customer: int
    model: str
    prompt: str
    max_tokens: int
    first_token_bound_s: float
    measured: bool


def plan_requests(workload: Workload, seed: int) -> list[PlannedRequest]:
    """Returns all requests in order of arrival.

    The arrivals of each class are a Poisson process. They don't depend on the responses, so a slow
    deployment gets as many requests as a fast one.
    """
    requests: list[PlannedRequest] = []
    for load_class in workload.classes:
        generator = random.Random(f"{seed}/{load_class.name}")
        requests.extend(_plan_class(load_class, workload, generator))
    return sorted(requests, key=lambda request: request.at_s)


def _plan_class(
    load_class: LoadClass, workload: Workload, generator: random.Random
) -> list[PlannedRequest]:
    prompts = [
        "".join(generator.choices(_ALPHABET, k=load_class.prompt_bytes))
        for _ in range(load_class.prompts)
    ]
    requests = []
    at_s = generator.expovariate(load_class.requests_per_second)
    while at_s < workload.duration_s:
        requests.append(_plan_request(load_class, workload, prompts, at_s, generator))
        at_s += generator.expovariate(load_class.requests_per_second)
    return requests


def _plan_request(
    load_class: LoadClass,
    workload: Workload,
    prompts: list[str],
    at_s: float,
    generator: random.Random,
) -> PlannedRequest:
    prompt_index = generator.randrange(len(prompts))
    # Each prompt belongs to one customer, so that a repeated prompt can hit the cache.
    customer = _choose_customer(load_class, prompt_index)
    suffix = "".join(generator.choices(_ALPHABET, k=load_class.suffix_bytes))
    return PlannedRequest(
        at_s=at_s,
        load_class=load_class.name,
        customer=customer,
        model=load_class.model,
        prompt=prompts[prompt_index] + suffix,
        max_tokens=load_class.max_tokens,
        first_token_bound_s=load_class.first_token_bound_s,
        measured=at_s >= workload.warmup_s,
    )


def _choose_customer(load_class: LoadClass, prompt_index: int) -> int:
    customers = range(len(load_class.weights))
    return random.Random(prompt_index).choices(customers, load_class.weights)[0]
