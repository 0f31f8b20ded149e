"""One check for each invariant, over the events of all processes of a run.

Events and the fields that are read:

- ``call`` (gateway): request, customer, service, key, repeatable
- ``answer`` (gateway): request, attempt, executed, version, complete, digest
- ``dispatch`` (gateway): request, attempt, target, data_centre
- ``configuration`` (control): service, offset, accepted, change_id, adopted
- ``order`` (control): data_centre, epoch, state
- ``execution`` (targets): request, attempt, customer, target, version, body_sha256, model,
  prompt_sha256, max_tokens, stream
- ``overload``, ``foreign_block``, ``leaving``, ``started`` (targets): target
- ``process_started`` (test harness): name, the ``process`` of the events of the new run
- ``caller_call``, ``caller_answer`` (test clients): call, request, customer, service, key,
  executed, body_sha256, complete, text_sha256, prompt_sha256, model, version, max_tokens
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from ..standins.pseudotext import digest_expected_output
from .reading import History, HistoryEvent

# The invariants allow new work on a drained data centre or a leaving target for "a few seconds".
DRAIN_GRACE_S = 5.0
LEAVING_GRACE_S = 5.0
MAX_AMPLIFICATION = 1.2
# The retry budget is a ratio of the requests plus a reserve, so smaller windows prove nothing.
AMPLIFICATION_WINDOW = 100
DRAINED_STATES = ("drained", "2")


@dataclass(frozen=True)
class Violation:
    """An invariant that a history breaks."""

    check: str
    message: str


@dataclass(frozen=True)
class CheckResult:
    """Result of one check; ``examined`` counts the events that could have broken the invariant."""

    check: str
    invariants: str
    examined: int
    violations: list[Violation]


Checker = Callable[[History], tuple[int, list[str]]]
CallKey = tuple[str, str, str]


def check_single_execution(history: History) -> tuple[int, list[str]]:
    """A non-repeatable call runs at most once for each customer, service and key."""
    executions: dict[CallKey, list[HistoryEvent]] = defaultdict(list)
    by_body = _index_keys_by_body(history)
    for event in history.executions:
        key = _get_call_key(history, event) or by_body.get(
            (event.get("customer"), event.get("body_sha256"))
        )
        if key is not None:
            executions[key].append(event)
    problems = [
        f"{'/'.join(key)} ran {len(events)} times: "
        + ", ".join(f"{event.get('request')} on {event.get('target')}" for event in events)
        for key, events in executions.items()
        if len(events) > 1
    ]
    return len(executions), problems


def _index_keys_by_body(history: History) -> dict[tuple[str, str], CallKey]:
    """Maps customer and body digest to the key of the only call with this body.

    Used for a request whose gateway was killed before it wrote or answered anything.
    """
    bodies: dict[tuple[str, str], set[CallKey]] = defaultdict(set)
    for event in history.select("caller_call"):
        if event.get("key"):
            key = (event.get("customer"), event.get("service"), event.get("key"))
            bodies[event.get("customer"), event.get("body_sha256")].add(key)
    return {body: next(iter(keys)) for body, keys in bodies.items() if len(keys) == 1}


def _get_call_key(history: History, execution: HistoryEvent) -> CallKey | None:
    call = history.calls.get(execution.get("request"))
    if call is None or not call.get("key") or call.fields.get("repeatable") is True:
        return None
    return call.get("customer"), call.get("service"), call.get("key")


def check_not_run(history: History) -> tuple[int, list[str]]:
    """A request that was answered "executed: no" never ran, before or after its answer.

    Answers with hops are left out: a gateway that gets a forwarded call reports only what it did
    itself, to the forwarding gateway, which may have sent the call to a target before. The answer
    of the forwarding gateway is checked.
    """
    executions = {event.get("request"): event for event in history.executions}
    refusals = [
        event
        for event in history.select("answer", "caller_answer")
        if event.get("executed") == "no" and event.get("request") and not event.get_number("hops")
    ]
    problems = [
        f"{event.get('request')} was answered as not run by {event.process} "
        f"but ran on {executions[event.get('request')].get('target')}"
        for event in refusals
        if event.get("request") in executions
    ]
    return len(refusals), problems


def check_overload(history: History) -> tuple[int, list[str]]:
    """No target that starts cold gets more requests at once than it can take."""
    problems = [
        f"{event.get('target')} got request {event.get('request')} while cold "
        f"with {event.get('running')} others"
        for event in history.select("overload")
    ]
    return len(history.executions) + len(problems), problems


def check_blocks(history: History) -> tuple[int, list[str]]:
    """No engine reads a cache block of another prompt, customer or version."""
    problems = [
        f"{event.get('target')} read block {event.get('key')} that does not belong to "
        f"request {event.get('request')}"
        for event in history.select("foreign_block")
    ]
    return len(history.executions), problems


def check_drained(history: History) -> tuple[int, list[str]]:
    """A drained data centre gets no new work later than a few seconds after the order."""
    orders: dict[str, list[HistoryEvent]] = defaultdict(list)
    for event in history.select("order"):
        orders[event.get("data_centre")].append(event)
    problems = []
    dispatches = history.select("dispatch")
    for event in dispatches:
        name = event.get("data_centre")
        known = [order for order in orders.get(name, ()) if order.at <= event.at]
        past_grace = [order for order in known if order.at <= event.at - DRAIN_GRACE_S]
        if _is_drained(past_grace) and _is_drained(known):
            problems.append(
                f"{event.process} sent {event.get('request')} to {event.get('target')} "
                f"in {name}, which was drained"
            )
    return len(dispatches), problems


def _is_drained(orders: list[HistoryEvent]) -> bool:
    if not orders:
        return False
    newest = max(order.get_number("epoch") for order in orders)
    states = {order.get("state").lower() for order in orders if order.get_number("epoch") == newest}
    # Either of two orders with the same epoch may win, so all of them have to be drains.
    return all(state in DRAINED_STATES for state in states)


def check_leaving(history: History) -> tuple[int, list[str]]:
    """A leaving target gets no new work later than a few seconds after its announcement."""
    problems = []
    left: dict[str, float] = {}
    dispatches = 0
    for event in history.select("leaving", "started", "dispatch"):
        target = event.get("target")
        if event.kind == "leaving":
            left[target] = event.at
        elif event.kind == "started":
            left.pop(target, None)
        else:
            dispatches += 1
            if event.at - left.get(target, event.at) > LEAVING_GRACE_S:
                problems.append(
                    f"{event.process} sent {event.get('request')} to {target}, which is leaving"
                )
    return dispatches, problems


def check_answers(history: History) -> tuple[int, list[str]]:
    """Each complete answer is the whole output for its own prompt, model and version."""
    executions = {event.get("attempt"): event for event in history.executions}
    problems = []
    examined = 0
    for event in history.select("answer", "caller_answer"):
        if event.fields.get("complete") is not True:
            continue
        request, source, digest = event.get("request"), event, event.get("text_sha256")
        if event.kind == "answer":
            source = executions.get(event.get("attempt"), event)
            digest = event.get("digest")
            if source.get("request") != request:
                problems.append(f"{request} got the answer of {source.get('request')}")
        # Answers that aren't streamed have the digest of their JSON; test clients check their text.
        if source.get("prompt_sha256") and source.fields.get("stream", True) is True:
            examined += 1
            if digest != _compute_digest(source):
                problems.append(
                    f"{request} got a text that is incomplete or belongs to another request"
                )
    return examined, problems


def _compute_digest(event: HistoryEvent) -> str:
    return digest_expected_output(
        event.get("model"),
        event.get("version"),
        event.get("prompt_sha256"),
        event.get_number("max_tokens"),
    )


def check_owners(history: History) -> tuple[int, list[str]]:
    """Each run has the customer of its call and the version that its answer was accepted for."""
    problems = []
    examined = 0
    versions = {
        event.get("attempt"): event.get("version")
        for event in history.select("answer")
        if event.get("attempt") and event.fields.get("complete") is True
    }
    for event in history.executions:
        request = event.get("request")
        call = history.calls.get(request)
        version = versions.get(event.get("attempt"), "")
        examined += int(call is not None)
        if call is not None and call.get("customer") != event.get("customer"):
            problems.append(
                f"{request} of {call.get('customer')} ran for {event.get('customer')} "
                f"on {event.get('target')}"
            )
        if version and event.get("version") != version:
            problems.append(
                f"{request} was answered for version {version}, ran on {event.get('version')}"
            )
    return examined, problems


def check_configuration(history: History) -> tuple[int, list[str]]:
    """All processes decide a change in the same way, and their revisions never decrease."""
    decided = [event for event in history.select("configuration") if event.get("service")]
    problems = []
    decisions: dict[tuple[str, int], HistoryEvent] = {}
    for event in decided:
        change = (event.get("service"), _get_revision(event))
        first = decisions.setdefault(change, event)
        if _get_decision(first) != _get_decision(event):
            problems.append(
                f"{change[0]} at offset {change[1]} was decided differently by {first.process} "
                f"and {event.process}"
            )
    accepted = {change for change, event in decisions.items() if _get_decision(event)[0]}
    for events in _split_runs(history):
        problems.extend(_check_revisions(events, accepted))
    return len(decided), problems


def _get_revision(event: HistoryEvent) -> int:
    """Returns the offset of the change itself.

    The event of a document adopted from a peer has the offset of the peer's state, which is later.
    """
    return event.get_number("revision") or event.get_number("offset")


def _get_decision(event: HistoryEvent) -> tuple[bool, str, str]:
    return event.fields.get("accepted") is True, event.get("change_id"), event.get("digest")


def _split_runs(history: History) -> list[list[HistoryEvent]]:
    """Returns the accepted changes of each service in each run of each process.

    A restarted process reads the log again from its beginning, so revisions start over.
    """
    run_numbers: dict[str, int] = defaultdict(int)
    sequences: dict[tuple[str, int, str], list[HistoryEvent]] = defaultdict(list)
    for event in history.select("configuration", "process_started"):
        if event.kind == "process_started":
            run_numbers[event.get("name")] += 1
        elif event.fields.get("accepted") is True:
            sequences[event.process, run_numbers[event.process], event.get("service")].append(event)
    return list(sequences.values())


def _check_revisions(events: list[HistoryEvent], accepted: set[tuple[str, int]]) -> list[str]:
    problems = []
    service, process = events[0].get("service"), events[0].process
    known = sorted(revision for name, revision in accepted if name == service)
    for before, after in zip(events, events[1:], strict=False):
        first, second = _get_revision(before), _get_revision(after)
        if second < first:
            problems.append(f"{process}: {service} went from revision {first} back to {second}")
        # Only a state adopted from a peer may skip revisions.
        skipped = [revision for revision in known if first < revision < second]
        if skipped and after.fields.get("adopted") is not True:
            problems.append(f"{process}: {service} skipped revision {skipped[0]}")
    return problems


def check_amplification(history: History) -> tuple[int, list[str]]:
    """At most 1.2 requests are sent to targets for each one received, in windows of 100."""
    sent: dict[str, int] = defaultdict(int)
    for event in history.select("dispatch"):
        sent[event.get("request")] += 1
    # A forwarded request is received by two gateways but counts once.
    received = list(dict.fromkeys(event.get("request") for event in history.select("call")))
    problems = []
    for start in range(0, len(received) - AMPLIFICATION_WINDOW + 1, AMPLIFICATION_WINDOW):
        window = received[start : start + AMPLIFICATION_WINDOW]
        total = sum(sent[request] for request in window)
        if total > MAX_AMPLIFICATION * len(window):
            problems.append(f"{total} requests sent for {len(window)} received from {window[0]} on")
    return len(received), problems


CHECKS: dict[str, tuple[str, Checker]] = {
    "single-execution": ("I8", check_single_execution),
    "not-run": ("I7", check_not_run),
    "overload": ("I4", check_overload),
    "blocks": ("I1 I2 I3", check_blocks),
    "drained": ("I5", check_drained),
    "leaving": ("I9", check_leaving),
    "answers": ("I6", check_answers),
    "owners": ("I2 I3", check_owners),
    "configuration": ("I11", check_configuration),
    "amplification": ("objective", check_amplification),
}


def run_checks(history: History) -> list[CheckResult]:
    """Runs all checks."""
    results = []
    for name, (invariants, checker) in CHECKS.items():
        examined, problems = checker(history)
        violations = [Violation(name, problem) for problem in problems]
        results.append(CheckResult(name, invariants, examined, violations))
    return results
