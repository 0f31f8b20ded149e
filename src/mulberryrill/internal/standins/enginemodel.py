"""Behaviour of the model engine stand-in without I/O: queue, batch, cold start, cache, faults.

All times are seconds passed in as ``now``. Not thread-safe: its owner holds a lock.
"""

import heapq
import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ..ids import create_id
from ..schema.settings_pb2 import EngineSettings
from .prefixcache import TOKENS_PER_BLOCK, PrefixCache, compute_chain_keys
from .pseudotext import count_tokens, digest_text, generate_tokens

# A crashed engine drops every connection for this long, then serves again, cold.
RESTART_DURATION_S = 0.5
# Loading the weights of a version takes this long, as on the workers that users run.
LOAD_DURATION_S = 1.0
MAX_WAITING = 1000
DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
DEFAULT_MAX_CONCURRENCY = 32


class SubmitResult(Enum):
    """Result of submitting a request."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    DOWN = "down"
    CRASHED = "crashed"


@dataclass(eq=False)
class Run:
    """One request in the engine.

    ``emitted`` counts output tokens, including the ``start_token`` ones of a resumed request that
    its client already has.
    """

    request: str
    attempt: str
    customer: str
    model: str
    version: str
    prompt: str
    path: str
    max_tokens: int
    stream: bool = True
    start_token: int = 0
    priority: int = 0
    imported_blocks: int = 0
    incarnation: str = ""
    cached_tokens: int = 0
    prompt_tokens: int = 0
    prompt_digest: str = ""
    tokens: list[str] = field(default_factory=list)
    block_keys: list[bytes] = field(default_factory=list)
    emitted: int = 0
    stall_after: int | None = None
    cut_after: int | None = None
    # Where to export the run's blocks when it ends: the request's ``kv_export``.
    kv_export: Mapping[str, object] | None = None
    # The connection that gets the response; used by the server only.
    connection: object = None

    def __post_init__(self) -> None:
        self.prompt_digest = digest_text(self.prompt)
        self.prompt_tokens = count_tokens(self.prompt)
        self.tokens = generate_tokens(self.model, self.version, self.prompt_digest, self.max_tokens)
        self.block_keys = compute_chain_keys(
            self.customer, self.model, self.version, self.prompt.encode("utf-8")
        )
        self.emitted = self.start_token


@dataclass(frozen=True)
class Emission:
    """Tokens ``first`` to ``end - 1`` of a run are due; ``cut`` ends its connection early."""

    run: Run
    first: int
    end: int
    finished: bool
    cut: bool = False


@dataclass
class _Faults:
    """Injected faults; a prompt that contains ``poison`` crashes the engine."""

    stall_after_tokens: int | None = None
    cut_after_tokens: int | None = None
    reject: int = 0
    wrong_attempt: int = 0
    poison: str = ""


@dataclass
class _LoadingVersion:
    name: str
    version: str
    ready_at: float


class EngineSimulation:
    """Decides when runs start and when their tokens are due.

    ``record(event, fields)`` receives "execution" and "overload" for the history;
    ``on_crash(runs)`` receives the runs that a crash ended.
    """

    def __init__(
        self,
        settings: EngineSettings,
        record: Callable[[str, dict[str, object]], None],
        on_crash: Callable[[list[Run]], None],
        now: float,
    ) -> None:
        self._settings = settings
        self._record = record
        self._on_crash = on_crash
        self._sequence = itertools.count()
        self.max_concurrency = settings.max_concurrency or DEFAULT_MAX_CONCURRENCY
        self._prefill_rate = settings.prefill_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND
        self._decode_s = settings.decode_ms_per_token / 1000
        self._cache = PrefixCache(settings.cache_blocks)
        self.faults = _Faults()
        self.fence = 0
        self._reset(now)

    def _reset(self, ready_at: float) -> None:
        self.incarnation = create_id("inc")
        self._down_until = ready_at
        self._cold_until = ready_at + self._settings.cold_ms / 1000
        self._versions = dict(_parse_model(text) for text in self._settings.models)
        self._loading: list[_LoadingVersion] = []
        self._running: set[Run] = set()
        self._waiting: list[tuple[int, int, Run]] = []
        self._schedule: list[tuple[float, int, Run]] = []
        self._cache.clear()

    @property
    def running(self) -> int:
        """Number of runs in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of runs in the queue."""
        return len(self._waiting)

    def is_down(self, now: float) -> bool:
        """Returns whether the engine is restarting and drops every connection."""
        return now < self._down_until

    def get_loaded_version(self, model: str, now: float) -> str | None:
        """Returns the version that new runs of a model get, or None if it is not loaded."""
        self._finish_loading(now)
        return self._versions.get(model)

    def list_models(self, now: float) -> list[dict[str, str]]:
        """Returns loaded and loading versions in the form of ``/v1/state``."""
        self._finish_loading(now)
        ready = [(name, version, "ready") for name, version in sorted(self._versions.items())]
        loading = [(load.name, load.version, "loading") for load in self._loading]
        return [
            dict(zip(("name", "version", "state"), row, strict=True)) for row in ready + loading
        ]

    def load(self, model: str, version: str, fence: int, now: float) -> bool:
        """Starts loading a version; returns False if the fence is checked and out of date."""
        if self._settings.checks_fence and fence < self.fence:
            return False
        self.fence = fence
        self._loading = [load for load in self._loading if load.name != model]
        if self._versions.get(model) != version:
            self._loading.append(_LoadingVersion(model, version, now + LOAD_DURATION_S))
        return True

    def submit(self, run: Run, now: float) -> SubmitResult:
        """Queues a request; one above the limit of a cold engine crashes the engine."""
        if self.is_down(now):
            return SubmitResult.DOWN
        if self.faults.reject:
            self.faults.reject -= 1
            return SubmitResult.REJECTED
        load = self.running + self.waiting
        if now < self._cold_until and load >= self._settings.cold_concurrency:
            fields: dict[str, object] = {"incarnation": self.incarnation, "running": load}
            self._record("overload", {**fields, "attempt": run.attempt, "request": run.request})
            self.crash(now)
            return SubmitResult.CRASHED
        if self.waiting >= MAX_WAITING:
            return SubmitResult.REJECTED
        run.incarnation = self.incarnation
        heapq.heappush(self._waiting, (run.priority, next(self._sequence), run))
        return self._start_waiting(now, run)

    def cancel(self, run: Run, now: float) -> None:
        """Ends a run whose client closed the connection."""
        self._running.discard(run)
        self._waiting = [entry for entry in self._waiting if entry[2] is not run]
        heapq.heapify(self._waiting)
        self._start_waiting(now, None)

    def crash(self, now: float) -> None:
        """Ends all runs; the engine comes back with a new incarnation, cold and empty."""
        crashed_runs = [*self._running, *(entry[2] for entry in self._waiting)]
        self._reset(now + RESTART_DURATION_S)
        self._on_crash(crashed_runs)

    def get_next_due(self) -> float | None:
        """Returns the time at which the next tokens are due, or None if none are scheduled."""
        return self._schedule[0][0] if self._schedule else None

    def advance(self, now: float) -> list[Emission]:
        """Returns all tokens due by now and starts waiting runs in the freed slots."""
        emissions = []
        while self._schedule and self._schedule[0][0] <= now:
            due_at, _, run = heapq.heappop(self._schedule)
            if run not in self._running:
                continue
            emission = self._emit(run, due_at, now)
            if emission is not None:
                emissions.append(emission)
        if emissions:
            self._start_waiting(now, None)
        return emissions

    def _emit(self, run: Run, due_at: float, now: float) -> Emission | None:
        first = run.emitted
        if not run.stream:
            end = run.max_tokens
        else:
            overdue_tokens = (
                int((now - due_at) / self._decode_s) if self._decode_s else run.max_tokens
            )
            end = min(run.max_tokens, first + 1 + overdue_tokens)
        if run.stall_after is not None and end >= run.stall_after:
            end = min(end, max(first, run.stall_after))
            run.emitted = end
            # The run keeps its slot in the batch but is not scheduled again.
            return Emission(run, first, end, finished=False) if end > first else None
        if run.cut_after is not None and end >= run.cut_after:
            self._running.discard(run)
            return Emission(run, first, max(first, run.cut_after), finished=False, cut=True)
        run.emitted = end
        finished = end >= run.max_tokens
        if finished:
            self._running.discard(run)
        else:
            next_due_at = due_at + (end - first) * self._decode_s
            heapq.heappush(self._schedule, (next_due_at, next(self._sequence), run))
        return Emission(run, first, end, finished)

    def _start_waiting(self, now: float, submitted: Run | None) -> SubmitResult:
        """Starts queued runs in free slots.

        Returns CRASHED if a poisoned prompt crashes the engine while a request is submitted.
        """
        while self._waiting and self.running < self.max_concurrency:
            run = heapq.heappop(self._waiting)[2]
            self._start_run(run, now)
            if self.faults.poison and self.faults.poison in run.prompt:
                self.crash(now)
                return SubmitResult.CRASHED if submitted is not None else SubmitResult.ACCEPTED
        return SubmitResult.ACCEPTED

    def _start_run(self, run: Run, now: float) -> None:
        cached_blocks = max(self._cache.count_cached(run.block_keys), run.imported_blocks)
        run.cached_tokens = cached_blocks * TOKENS_PER_BLOCK
        self._cache.add(run.block_keys)
        self._record("execution", _describe_run(run))
        if run.stream:
            run.stall_after, self.faults.stall_after_tokens = self.faults.stall_after_tokens, None
        run.cut_after, self.faults.cut_after_tokens = self.faults.cut_after_tokens, None
        # A resumed run recomputes its prompt and the output so far.
        prefill_tokens = run.prompt_tokens + run.start_token - run.cached_tokens
        decode_tokens = 1 if run.stream else run.max_tokens - run.start_token
        next_due_at = now + prefill_tokens / self._prefill_rate + decode_tokens * self._decode_s
        self._running.add(run)
        heapq.heappush(self._schedule, (next_due_at, next(self._sequence), run))

    def _finish_loading(self, now: float) -> None:
        for load in [load for load in self._loading if load.ready_at <= now]:
            self._versions[load.name] = load.version
            self._loading.remove(load)


def _describe_run(run: Run) -> dict[str, object]:
    return {
        "attempt": run.attempt,
        "request": run.request,
        "customer": run.customer,
        "incarnation": run.incarnation,
        "model": run.model,
        "version": run.version,
        "path": run.path,
        "prompt_sha256": run.prompt_digest,
        "start_token": run.start_token,
        "max_tokens": run.max_tokens,
        "stream": run.stream,
        "cached_tokens": run.cached_tokens,
        "prompt_tokens": run.prompt_tokens,
    }


def _parse_model(text: str) -> tuple[str, str]:
    """Splits ``name@version``."""
    name, _, version = text.partition("@")
    return name, version or "1"
