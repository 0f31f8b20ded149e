"""Places calls without a prompt, and learns from all calls how long they take."""

from ..core.serving.callcosts import (
    CallCosts,
    CallGroup,
    CompletionEstimate,
    CostKind,
    RunningCall,
)
from ..core.serving.loads import LoadTable
from ..core.serving.placement import Placement, PlacementRequest
from ..core.serving.routetable import Service
from ..core.serving.targettable import Target
from ..ids import ServiceName
from .attempt import Attempt, Outcome
from .dialect import CallRequest


class CallCostTracker:
    """Connects attempts with the learned durations. Used on the event loop's thread only."""

    def __init__(self, placement: Placement, loads: LoadTable, costs: CallCosts) -> None:
        self._placement = placement
        self._loads = loads
        self._costs = costs
        self._running: dict[Attempt, RunningCall] = {}

    @property
    def gauges(self) -> dict[str, float]:
        """Mean relative errors of the predicted durations, by metric name."""
        errors = {kind: self._costs.get_prediction_error(kind) for kind in CostKind}
        return {
            f"{kind.value}_prediction_error": error
            for kind, error in errors.items()
            if error is not None
        }

    def choose_target(
        self, call: CallRequest, service: Service, targets: list[Target], request: PlacementRequest
    ) -> Target | None:
        """Returns the target where the call is expected to end first; None: none may take it.

        Until durations of such calls are known, it is the one with the fewest running calls.
        """
        now, group = request.now, find_group(call, service.name)

        def estimate_completions(
            candidates: list[Target], running: list[float]
        ) -> list[CompletionEstimate]:
            registrations = [target.registration for target in candidates]
            return self._costs.estimate_completions(registrations, running, group, now)

        return self._placement.choose_least_loaded(
            targets,
            request,
            service.cold_rate,
            lambda target: self._loads.estimate_running_calls(target.id, now),
            estimate_completions if self._costs.is_learned(group) else None,
        )

    def on_send(self, call: CallRequest, attempt: Attempt) -> None:
        """Adds an attempt; to be called before it counts as running at its target."""
        registration, now = attempt.plan.target.registration, attempt.started_at
        size = call.prompt.max_output_tokens if call.prompt is not None else 1
        running = self._loads.estimate_running_calls(registration.target, now)
        group = find_group(call, registration.service)
        self._running[attempt] = self._costs.start(group, registration, size, running, now)

    def on_end(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Removes an attempt, and learns from it if its target has answered it completely.

        An interrupted stream that goes on has an unknown part of its work left.
        """
        running = self._running.pop(attempt, None)
        if running is None:
            return
        is_own = (
            attempt.response_info is not None and not attempt.response_info.is_from_other_target
        )
        is_whole = attempt.plan.last_event_id is None
        self._costs.end(running, outcome is Outcome.ANSWERED and is_own and is_whole, now)

    def on_first_event(self, attempt: Attempt, now: float) -> None:
        """Records that the target of a model call has begun to send output."""
        if (running := self._running.get(attempt)) is not None:
            self._costs.record_first_event(running, now)


def find_group(call: CallRequest, service: ServiceName) -> CallGroup:
    """Returns the calls from which the duration of a call is learned."""
    if call.prompt is not None:
        return CallGroup(CostKind.MODEL, service, call.prompt.model)
    return CallGroup(CostKind.PLAIN, service, call.route.name, call.http.method)
