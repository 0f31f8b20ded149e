"""Keeps to the rates of calls that targets in need name, over all instances together.

Pattern: a target in need names in its responses the calls a second that it accepts. Every instance
sends it calls; instances start, freeze and are cut off from each other meanwhile; and when all
targets of a service are in need, urgent calls compete with less urgent ones for what is left.

A few instances, ranked by a hash and spread over the data centres, each send an equal share of the
rate; the others send nothing. The shares hold without any message. Instances only tell each other
what targets name, so that not each of them has to send a call to learn it.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from ...ids import DataCentre, InstanceId, ServiceName, TargetId
from ..rendezvous import rank_members
from .targettable import Registration, Target, TargetRun

# The platform counts the calls to a limited target over spans of this length, and tolerates half of
# the rate more and 5 calls. The shares use less than half of that tolerance; the rest covers
# instances that see different lists of instances, and calls that are delayed on their way.
LIMIT_WINDOW_S = 4.0
BURST_S = 1.0
BURST_RESERVE = 2.5
# A target that names less gets this many calls a second all the same: only its responses tell when
# it is no longer in need.
MIN_RATE = 0.25
# One instance of a data centre in which none has a share sends a call when there has been no news
# for this long, times the number of data centres.
SCOUT_INTERVAL_S = 10.0
# How long a lifted limit is remembered, so that older news of a peer does not restore it.
LIFTED_RETENTION_S = 10.0
MIN_RETRY_DELAY_S = 0.3
# Refused calls that are remembered for each priority.
MAX_REFUSALS = 200


@dataclass(frozen=True)
class LimitNews:
    """What a target named in a response."""

    run: TargetRun
    # Calls per second, over all instances; None: no limit any more.
    rate: float | None
    # When the response arrived, in boot time of this instance.
    named_at: float
    # Whether this instance got the response, rather than a peer.
    is_own: bool


class _Share:
    """What this instance may send to one limited target."""

    def __init__(self, rate: float, capacity: float, now: float) -> None:
        self.rate = rate
        self.capacity = capacity
        # Calls that may be sent now. None at first, as the target may just have got too many.
        self._tokens = 0.0
        self._updated_at = now

    def count_available(self, now: float) -> int:
        """Returns the number of calls that may be sent now."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._tokens = min(self.capacity, self._tokens + elapsed_s * self.rate)
        self._updated_at = now
        return int(self._tokens)

    def withdraw(self, now: float) -> None:
        """Counts a call that was sent, even if none was available."""
        self.count_available(now)
        self._tokens -= 1.0

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Changes the rate and the capacity from now on."""
        self.count_available(now)
        self.rate, self.capacity = rate, capacity


@dataclass
class _LimitedTarget:
    """A limit in force."""

    registration: Registration
    news: LimitNews
    # None: other instances send the calls.
    share: _Share | None = None
    # Whether this instance is the one of its data centre to send a call when news is old.
    is_scout: bool = False
    last_sent_at: float = float("-inf")


class TargetLimits:
    """The limits that targets name, this instance's shares of them and its calls. Times: boot time.

    Without a list of the instances it sends limited targets nothing, as its share is unknown.
    """

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._instances: dict[InstanceId, DataCentre] = {}
        self._limited: dict[TargetId, _LimitedTarget] = {}
        self._lifted: dict[TargetRun, LimitNews] = {}
        self._sent_at: dict[TargetId, deque[float]] = {}
        # Times of calls that the limits did not admit, by service and priority.
        self._refused_at: dict[ServiceName, dict[int, deque[float]]] = {}

    @property
    def limited_count(self) -> int:
        """Number of targets that name a limit."""
        return len(self._limited)

    def set_instances(self, instances: Mapping[InstanceId, DataCentre], now: float) -> None:
        """Sets the instances that share the rates, with their data centres."""
        self._instances = dict(instances)
        for limited in self._limited.values():
            self._update_share(limited, now)

    def observe(
        self, registration: Registration, rate: float | None, sent_at: float, now: float
    ) -> bool:
        """Records what a response to a call sent at ``sent_at`` names; returns whether it is new.

        A response without a limit may have overtaken one with it. It counts only if its call was
        sent after the limit was last named.
        """
        run = registration.run
        if rate is None:
            current = self._limited.get(run.target)
            if current is None or (current.news.run == run and sent_at < current.news.named_at):
                return False
        return self._apply(registration, LimitNews(run, rate, now, is_own=True), now)

    def apply_news(self, registration: Registration, news: LimitNews, now: float) -> bool:
        """Applies news of a peer on a registered target; returns whether it changes the limit."""
        return news.run == registration.run and self._apply(registration, news, now)

    def _apply(self, registration: Registration, news: LimitNews, now: float) -> bool:
        run = news.run
        limited = self._limited.get(run.target)
        if limited is not None and limited.news.run != run:
            del self._limited[run.target]
            limited = None
        known = limited.news if limited is not None else self._lifted.get(run)
        if known is not None and news.named_at <= known.named_at:
            return False
        if news.rate is None:
            self._limited.pop(run.target, None)
            if limited is not None:
                self._lifted[run] = news
            return limited is not None
        self._lifted.pop(run, None)
        has_changed = limited is None or limited.news.rate != news.rate
        if limited is None:
            limited = self._limited[run.target] = _LimitedTarget(registration, news)
        limited.news = news
        if has_changed:
            self._update_share(limited, now)
        return has_changed

    def _update_share(self, limited: _LimitedTarget, now: float) -> None:
        """Divides a target's rate among as many instances as its tolerance of bursts admits."""
        assert limited.news.rate is not None
        rate = max(MIN_RATE, limited.news.rate)
        burst = BURST_S * rate + BURST_RESERVE
        ranked = self._rank_instances(limited.registration)
        senders = ranked[: max(1, int(burst))]
        if self._instance in senders:
            share_rate, capacity = rate / len(senders), max(1.0, burst / len(senders))
            if limited.share is None:
                limited.share = _Share(share_rate, capacity, now)
            limited.share.resize(share_rate, capacity, now)
        else:
            limited.share = None
        data_centre = self._instances.get(self._instance)
        local = [instance for instance in ranked if self._instances[instance] == data_centre]
        has_local_sender = any(instance in senders for instance in local)
        limited.is_scout = not has_local_sender and local[:1] in ([], [self._instance])

    def _rank_instances(self, registration: Registration) -> list[InstanceId]:
        """Ranks the instances for a target: one of each data centre in turn, its own one first.

        If data centres are cut off from each other, only instances of its own reach it.
        """
        remaining: dict[DataCentre, list[InstanceId]] = {}
        for instance in rank_members(registration.target, self._instances):
            remaining.setdefault(self._instances[instance], []).append(instance)
        data_centres = rank_members(registration.target, remaining)
        data_centres.sort(key=lambda data_centre: data_centre != registration.data_centre)
        ranked = []
        while data_centres:
            ranked += [remaining[data_centre].pop(0) for data_centre in data_centres]
            data_centres = [data_centre for data_centre in data_centres if remaining[data_centre]]
        return ranked

    def list_admitted(
        self, targets: list[Target], service: ServiceName, priority: int, now: float
    ) -> list[Target]:
        """Returns the targets of a service to which a call of a priority may go now.

        What the limits admit is left to more urgent calls that were refused a short while ago: as
        many come again.
        """
        if not self._limited:
            return targets
        available = {t.id: self._count_available(t.id, now) for t in targets if self._is_limited(t)}
        reserved = self._count_refused(service, range(priority), now)
        if reserved >= sum(available.values()):
            available = {}
        return [t for t in targets if not self._is_limited(t) or available.get(t.id, 0) > 0]

    def _is_limited(self, target: Target) -> bool:
        limited = self._limited.get(target.id)
        return limited is not None and limited.news.run == target.registration.run

    def _count_available(self, target: TargetId, now: float) -> int:
        limited = self._limited[target]
        if limited.share is not None:
            return limited.share.count_available(now)
        if not limited.is_scout:
            return 0
        interval_s = SCOUT_INTERVAL_S * max(1, len(set(self._instances.values())))
        return int(now - max(limited.news.named_at, limited.last_sent_at) >= interval_s)

    def record_send(self, registration: Registration, priority: int, now: float) -> None:
        """Records a call to a target."""
        sent_at = self._sent_at.setdefault(registration.target, deque())
        sent_at.append(now)
        _drop_old(sent_at, now)
        limited = self._limited.get(registration.target)
        if limited is None or limited.news.run != registration.run:
            return
        limited.last_sent_at = now
        if limited.share is not None:
            limited.share.withdraw(now)
        refused_at = self._refused_at.get(registration.service, {}).get(priority)
        if refused_at:
            refused_at.popleft()

    def record_refusal(self, service: ServiceName, priority: int, now: float) -> None:
        """Records that a call was refused while limits kept it from a target of its service."""
        refused_at = self._refused_at.setdefault(service, {}).setdefault(
            priority, deque(maxlen=MAX_REFUSALS)
        )
        refused_at.append(now)

    def compute_retry_delay(
        self,
        targets: list[Target],
        service: ServiceName,
        priority: int,
        fraction: float,
        now: float,
    ) -> float:
        """Returns the seconds after which a call that the limits did not admit should return.

        Calls that were refused before it and are as urgent come first. The returns are spread by
        ``fraction``, a random number from 0 to 1. They reach any instance, so each counts with an
        equal part of the rates.
        """
        limited = [self._limited[t.id] for t in targets if self._is_limited(t)]
        rate = sum(max(MIN_RATE, item.news.rate or 0.0) for item in limited)
        own_rate = rate / max(1, len(self._instances))
        ahead = self._count_refused(service, range(priority + 1), now)
        delay_s = (1 + ahead) / own_rate if own_rate > 0 else 0.0
        return max(MIN_RETRY_DELAY_S, delay_s) * (1.0 + fraction)

    def _count_refused(self, service: ServiceName, priorities: range, now: float) -> int:
        by_priority = self._refused_at.get(service, {})
        for refused_at in by_priority.values():
            _drop_old(refused_at, now)
        return sum(len(refused) for level, refused in by_priority.items() if level in priorities)

    def count_sent(self, target: TargetId, now: float) -> int:
        """Returns the calls that this instance has sent to a target in the last window."""
        sent_at = self._sent_at.get(target, deque())
        _drop_old(sent_at, now)
        return len(sent_at)

    def list_own_news(self) -> list[LimitNews]:
        """Returns what this instance was told by targets, unless a peer was told so later."""
        news = [*(limited.news for limited in self._limited.values()), *self._lifted.values()]
        return [item for item in news if item.is_own]

    def prune(self, live: dict[TargetId, Registration], now: float) -> None:
        """Discards what is no longer needed; ``live`` holds the registered targets."""
        self._limited = {
            target: limited
            for target, limited in self._limited.items()
            if target in live and live[target].run == limited.news.run
        }
        self._lifted = {
            run: news
            for run, news in self._lifted.items()
            if now - news.named_at < LIFTED_RETENTION_S
        }
        self._sent_at = {
            target: sent_at
            for target, sent_at in self._sent_at.items()
            if target in live and sent_at and now - sent_at[-1] < LIMIT_WINDOW_S
        }


def _drop_old(times: deque[float], now: float) -> None:
    """Removes the times before the window."""
    while times and now - times[0] >= LIMIT_WINDOW_S:
        times.popleft()
