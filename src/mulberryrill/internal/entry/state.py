"""State of this instance: configuration, targets, model versions, other instances.

Owned by the event loop's thread. The ``platform`` package reports changes through
``StoreObserver``; each effective change is logged with its version or age.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from ..core.quarantine import Quarantine
from ..core.serving.cacheindex import CacheIndex, RemoteClock
from ..core.serving.cachevalidity import ValidParts, VersionTimes
from ..core.serving.callcosts import CallCosts
from ..core.serving.crashcauses import CrashCauses, TargetEnd
from ..core.serving.departures import StartNews
from ..core.serving.heartbeats import HeartbeatLog
from ..core.serving.loads import LoadTable
from ..core.serving.namedversions import NamedVersion, NamedVersions
from ..core.serving.orders import VersionRollout
from ..core.serving.placement import ColdPacer
from ..core.serving.quiettimes import QuietTimes
from ..core.serving.readtiming import plan_waiting_reads
from ..core.serving.rollouts import (
    IgnoredReason,
    RolloutMark,
    RolloutOrder,
    Rollouts,
    RolloutStatus,
)
from ..core.serving.routetable import RouteTable
from ..core.serving.streamorigins import DefaultVersion, StreamOrigins
from ..core.serving.targetlimits import LimitNews, TargetLimits
from ..core.serving.targettable import (
    EXPIRY_GRACE_S,
    REWRITING_S,
    Registration,
    RegistrationState,
    Target,
    TargetRun,
    TargetTable,
)
from ..eventloop import EventLoop
from ..events import Event
from ..ids import DataCentre, InstanceId, ModelName, ServiceName, StoreEra, TargetId, WeightVersion
from ..logs import log_event
from ..schema.log_pb2 import QuarantineEntry
from ..schema.settings_pb2 import EntryBounds
from .cachesharing import CacheSharing
from .originrecords import OriginRecords
from .peers import EndNews, Peer, compute_report_interval
from .targetupdates import TargetUpdates
from .versionchoice import VersionChoice

# An instance that has just started learns within this time from its peers for how long the current
# model versions have been in force. Until then it uses targets with older versions, too.
VERSION_AGE_GRACE_S = 2.0
# A starting instance hears from a peer within this time whether the store has lost anything, and
# within the longer one what that is.
PEER_NEWS_TIMEOUT_S = 1.0
CARRIED_RECORDS_TIMEOUT_S = 2.5
# Peers are told the age of versions that were named within this multiple of the time in which a
# version must be in use everywhere; an older one binds all calls.
VERSION_AGE_FACTOR = 2.0
# A peer that has seen calls break off learns within this time whether the target has ended.
UNPROVEN_END_S = 1.0
MS_PER_S = 1000
# Timers that look for what has expired run a little later, so that rounding does not matter.
TIMER_MARGIN_S = 0.01
_LOGGER = logging.getLogger(__name__)


class StoreObserver(Protocol):
    """Callbacks for the contents of the platform's store, called in the store's order."""

    def on_configuration(self, table: RouteTable) -> None:
        """A configuration was written."""
        ...

    def on_registration(self, registration: Registration) -> None:
        """A target wrote its registration."""
        ...

    def on_registration_removed(self, target: TargetId) -> None:
        """A target's registration was removed."""
        ...

    def on_registry_read(self, registrations: list[Registration], is_restored: bool) -> None:
        """The whole registry was read; ``is_restored``: it came back from an older copy."""
        ...

    def on_carried_records(self, topic: str) -> None:
        """A peer has told what a restored store has lost of a topic."""
        ...

    def on_evacuations_read(self, data_centres: set[DataCentre]) -> None:
        """The complete set of evacuated data centres was read."""
        ...

    def on_evacuation(self, data_centre: DataCentre, is_evacuated: bool) -> None:
        """A data centre was evacuated or returned to service."""
        ...

    def on_desired_version(
        self, model: ModelName, version: WeightVersion, is_initial: bool
    ) -> None:
        """An operator set the desired version of a model's weights.

        ``is_initial``: it was found by the first read of the store, so it may have been set long
        before.
        """
        ...

    def on_operator_records_checked(self, complete_at: float) -> None:
        """All records that operators wrote up to boot time ``complete_at`` are known."""
        ...

    def on_quarantine(self, trait: str, entry: QuarantineEntry | None) -> None:
        """Calls with a trait are quarantined; None: no longer."""
        ...

    def on_default_version(self, service: ServiceName, default: DefaultVersion | None) -> None:
        """The default software version of a service was written; None: it was deleted."""
        ...

    def on_rollout_order(self, order: RolloutOrder, is_initial: bool) -> None:
        """An operator ordered a software version; ``is_initial`` as for model versions."""
        ...

    def on_rollout_ignored(self, service: ServiceName, reason: IgnoredReason) -> None:
        """An operator's order cannot be carried out."""
        ...

    def on_rollout_status(self, service: ServiceName, status: RolloutStatus | None) -> None:
        """The status of a service's rollout was written; None: it was deleted."""
        ...

    def on_rollout_statuses_checked(self, complete_at: float) -> None:
        """All statuses that were written up to boot time ``complete_at`` are known."""
        ...

    def on_rollout_mark(self, service: ServiceName, mark: RolloutMark | None) -> None:
        """How much of a service may move was written; None: it was deleted."""
        ...

    def on_peers(self, peers: list[Peer]) -> None:
        """The list of live entry instances, including this one, was read."""
        ...

    def on_store_reachability(self, is_reachable: bool, detail: str) -> None:
        """A request to the store succeeded or failed."""
        ...

    def on_registry_reachability(self, is_reachable: bool) -> None:
        """A read of the registry succeeded or failed; called before its records are applied."""
        ...

    def on_registry_checked(self, complete_at: float) -> None:
        """All records of the registry up to boot time ``complete_at`` are known."""
        ...


class EntryState:
    """Implements ``StoreObserver`` and holds the state that the dispatcher reads."""

    def __init__(
        self, loop: EventLoop, instance: InstanceId, data_centre: DataCentre, bounds: EntryBounds
    ) -> None:
        self._loop = loop
        self._data_centre = data_centre
        self._instance = instance
        self._bounds = bounds
        self.route_table: RouteTable | None = None
        self.targets = TargetTable()
        self._heartbeats = HeartbeatLog()
        self._is_registry_reachable = True
        # Boot time since which it was not reachable the last time.
        self._registry_lost_at = float("-inf")
        # The registry is reachable again, and its records since then were not applied yet.
        self._has_registry_returned = False
        self.named_versions = NamedVersions()
        self._version_times = VersionTimes()
        self.rollout = VersionRollout(self.named_versions, bounds.version_ms / MS_PER_S)
        self.cold_pacer = ColdPacer(instance, bounds.cold_factor, bounds.cold_reserve)
        self.target_limits = TargetLimits(instance)
        self.quiet_times = QuietTimes()
        self.cache_index = CacheIndex()
        self.loads = LoadTable()
        self.call_costs = CallCosts()
        self.cache_sharing = CacheSharing(self.cache_index, instance, loop.boottime)
        self.target_updates = TargetUpdates(self.targets)
        self.engine_clock = RemoteClock()
        self.crash_causes = CrashCauses()
        self.stream_origins = StreamOrigins(loop.boottime())
        self.origin_records = OriginRecords(loop, self, instance)
        self.rollouts = Rollouts()
        self.version_choice = VersionChoice(loop, self, instance, bounds)
        self.quarantine = Quarantine()
        self.instances: tuple[InstanceId, ...] = (instance,)
        self.local_instances: tuple[InstanceId, ...] = (instance,)
        self.on_peers_changed: Callable[[list[Peer]], None] | None = None
        # A target that was not draining is gone, or another incarnation has its id.
        self.on_target_lost: Callable[[Registration], None] | None = None
        # A peer has seen targets end.
        self.on_peer_ends: Callable[[], None] | None = None
        # Tells peers of a target's end that this instance has seen; False: it is not proved.
        self.publish_end: Callable[[TargetEnd, bool], None] | None = None
        # Stores an entry of the quarantine for all instances.
        self.store_quarantine: Callable[[QuarantineEntry], None] | None = None
        # Whether the list of the live instances has been read.
        self.has_peer_list = False
        self._has_registry = False
        # Boot time since which a configuration and the registry have been known.
        self._records_known_at: float | None = None
        self._has_peer_news = False
        # Topics of which each peer knows records that the store has lost, and of which they came.
        self._peer_topics: dict[InstanceId, set[str]] = {}
        self._received_topics: set[str] = set()
        self._peer_eras: dict[InstanceId, StoreEra | None] = {}
        # The era in which this instance knows the topics of the store.
        self.get_store_era: Callable[[], StoreEra | None] | None = None
        self._peer_ends: dict[InstanceId, EndNews] = {}
        # Topics of which the follower of the store knows records that a restored store has lost.
        self.list_carried_topics: Callable[[], list[str]] | None = None
        self._is_store_reachable: bool | None = None
        # Boot time at which the operators' records were last found to be the newest.
        self._operator_records_checked_at: float | None = None
        # The same of the statuses of rollouts.
        self._rollout_statuses_checked_at: float | None = None
        # The era of the store in which they were read, and until when a restored store may lack
        # versions that were named before.
        self._operator_records_era: StoreEra | None = None
        self._versions_settle_at = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether calls can be routed by what is known.

        If the store has just come back from an older copy, a starting instance waits for what its
        peers know of the time since: a key may have been withdrawn, or a target may have left.
        """
        if self._records_known_at is None:
            return False
        timeout_s = CARRIED_RECORDS_TIMEOUT_S if self._lacks_records else PEER_NEWS_TIMEOUT_S
        return self._has_peer_news or self._loop.boottime() - self._records_known_at >= timeout_s

    @property
    def _lacks_records(self) -> bool:
        """Whether a peer knows records, or ends of targets, that it has not told yet."""
        lacks_topics = any(topics - self._received_topics for topics in self._peer_topics.values())
        has_current_peer = any(map(self._is_current, self._peer_eras.values()))
        return (
            lacks_topics
            or EndNews.UNTOLD in self._peer_ends.values()
            or (bool(self._peer_eras) and not has_current_peer)
        )

    def _is_current(self, era: StoreEra | None) -> bool:
        """Whether a peer follows the store in the same era as this instance, as far as known."""
        own = self.store_era
        return own is None or era is None or era >= own

    @property
    def store_era(self) -> StoreEra | None:
        """The era of the store that this instance follows; None: no response stated one."""
        return self.get_store_era() if self.get_store_era is not None else None

    def on_peer_report(
        self,
        instance: InstanceId,
        carried_topics: set[str],
        ends: EndNews = EndNews.COMPLETE,
        store_era: StoreEra | None = None,
    ) -> None:
        """A peer reported, with the topics of which it knows records that the store has lost.

        A peer that still follows the store of before a restore does not know yet.
        """
        if not self._has_peer_news:
            self._peer_topics[instance] = carried_topics
            self._peer_eras[instance] = store_era
            if self._peer_ends.get(instance) is not EndNews.COMPLETE:
                self._peer_ends[instance] = ends
            self._has_peer_news = not self._lacks_records

    def on_carried_records(self, topic: str) -> None:
        """A peer has told what the store has lost of a topic."""
        self._received_topics.add(topic)
        if self._peer_topics and not self._lacks_records:
            self._has_peer_news = True

    @property
    def carried_topics(self) -> list[str]:
        """Topics of which this instance knows records that the restored store has lost."""
        return self.list_carried_topics() if self.list_carried_topics is not None else []

    def _check_records_known(self) -> None:
        if self._records_known_at is None and self.route_table is not None and self._has_registry:
            self._records_known_at = self._loop.boottime()

    def on_configuration(self, table: RouteTable) -> None:
        """Applies a configuration unless that version or a later one is in use already.

        Versions only increase.
        """
        if self.route_table is not None and table.version <= self.route_table.version:
            return
        previous = self.route_table.version if self.route_table is not None else None
        self.route_table = table
        self._check_records_known()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_CONFIGURATION_CHANGED,
            "configuration applied",
            version=table.version,
            previous=previous,
            routes=len(table.routes),
        )

    def on_operator_records_checked(self, complete_at: float) -> None:
        """Records up to when the configuration in force was the newest one."""
        self._operator_records_checked_at = complete_at
        now = self._loop.boottime()
        if self.store_era != self._operator_records_era:
            if self._operator_records_era is not None:
                self._versions_settle_at = now + REWRITING_S
            self._operator_records_era = self.store_era
        if now >= self._versions_settle_at:
            self._version_times.confirm(complete_at)

    @property
    def operator_records_age_s(self) -> float | None:
        """Seconds since the operators' records were last found to be the newest; None: never."""
        checked_at = self._operator_records_checked_at
        return None if checked_at is None else self._loop.boottime() - checked_at

    def on_registration(self, registration: Registration) -> None:
        """Applies a target's registration."""
        self._heartbeats.record(registration.target)
        current = self.targets.get(registration.target)
        has_changed = self.targets.apply(registration, self._loop.now())
        if current is not None and self.targets.get(registration.target) is not current:
            self._report_lost(current)
        if has_changed:
            self._log_target(registration.target, registration.state.value, registration.address)
        elif not self.targets.is_registered(registration.run):
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_REGISTRATION_IGNORED,
                "registration may be from before what is known of its target: not used",
                target=registration.target,
                incarnation=registration.incarnation,
                state=registration.state.value,
            )

    def on_registration_removed(self, target: TargetId) -> None:
        """Removes a target, or marks it as expired during or just after a store outage."""
        current = self.targets.get(target)
        self.targets.remove(target, self._loop.now(), self._heartbeats.interval_s)
        if current is not None:
            if self.targets.get(target) is None:
                self._report_lost(current)
            state = "removed" if self.targets.get(target) is None else "lapsed"
            self._log_target(target, state, current.registration.address)

    def list_start_news(self) -> list[StartNews]:
        """Returns the targets that have left or started again a short time ago."""
        return self.targets.list_start_news(self._loop.now())

    def apply_start_news(self, news: StartNews) -> None:
        """Applies what a peer knows of such a target to this instance, which has just started."""
        if self.targets.apply_start_news(news, self._loop.now()):
            self._log_target(news.run.target, "removed: a peer knows that it left or restarted", "")

    def on_registry_read(self, registrations: list[Registration], is_restored: bool) -> None:
        """Replaces the list of targets, or brings it up to date with an older copy."""
        self._heartbeats.skip()
        now = self._loop.now()
        if is_restored:
            self.targets.restore_all(registrations, now)
            self._schedule_expiry()
        else:
            self.targets.replace_all(registrations, now, self._heartbeats.interval_s)
        self._has_registry = True
        self._check_records_known()
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_REGISTRY_READ,
            "target registry read",
            targets=len(registrations),
        )

    def on_quarantine(self, trait: str, entry: QuarantineEntry | None) -> None:
        """Refuses calls with a trait from now on, or accepts them again."""
        unix_ms = int(self._loop.wall() * MS_PER_S)
        was_refused = self.quarantine.is_quarantined(trait, unix_ms)
        if entry is None:
            self.quarantine.remove_entry(trait)
        else:
            self.quarantine.merge_entry(entry)
        is_refused = self.quarantine.is_quarantined(trait, unix_ms)
        if is_refused != was_refused:
            log_event(
                _LOGGER,
                logging.WARNING,
                Event.ENTRY_QUARANTINE_CHANGED,
                f"calls with this trait are {'refused' if is_refused else 'accepted again'}",
                trait=trait,
            )

    def on_default_version(self, service: ServiceName, default: DefaultVersion | None) -> None:
        """Applies the software version that began the streams without a record."""
        self.stream_origins.set_default(service, default)
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_DEFAULT_VERSION_CHANGED,
            "default software version of a service",
            service=service,
            version=default.version if default is not None else None,
            era=default.era if default is not None else None,
        )

    def on_rollout_order(self, order: RolloutOrder, is_initial: bool) -> None:
        """Begins to move a service to a software version, or logs why not."""
        registered = self.targets.count_versions(order.service)
        now, unix_ms = self._loop.boottime(), int(self._loop.wall() * MS_PER_S)
        reason = self.rollouts.set_order(order, registered, now, unix_ms, is_initial=is_initial)
        if reason is not None:
            self.on_rollout_ignored(order.service, reason, order)

    def on_rollout_ignored(
        self, service: ServiceName, reason: IgnoredReason, order: RolloutOrder | None = None
    ) -> None:
        """Logs why an order is not carried out."""
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.ENTRY_ROLLOUT_IGNORED,
            f"rollout order ignored: {reason.value}",
            service=service,
            version=order.version if order is not None else None,
            duration_s=order.duration_s if order is not None else None,
        )

    def on_rollout_status(self, service: ServiceName, status: RolloutStatus | None) -> None:
        """Applies the state of a service's rollout."""
        self.rollouts.set_status(service, status)
        self._log_rollout(service, f"state {status.state.value}" if status else "no state")
        self._adopt_rollout(service)

    def on_rollout_statuses_checked(self, complete_at: float) -> None:
        """Records up to when the states of rollouts were the newest ones."""
        self._rollout_statuses_checked_at = complete_at

    @property
    def rollout_statuses_age_s(self) -> float | None:
        """Seconds since the states of rollouts were last found to be the newest; None: never."""
        checked_at = self._rollout_statuses_checked_at
        return None if checked_at is None else self._loop.boottime() - checked_at

    def on_rollout_mark(self, service: ServiceName, mark: RolloutMark | None) -> None:
        """Applies how much of a service may move."""
        unix_ms = int(self._loop.wall() * MS_PER_S)
        self.rollouts.set_mark(service, mark, self._loop.boottime(), unix_ms)
        self._log_rollout(service, f"stage {mark.stage.value}" if mark else "no stage")
        self._adopt_rollout(service)

    def _adopt_rollout(self, service: ServiceName) -> None:
        rollout, unix_ms = self.rollouts.get(service), int(self._loop.wall() * MS_PER_S)
        reason = self.rollouts.adopt_running(service, self._loop.boottime(), unix_ms)
        if reason is not None and rollout is not None:
            self.on_rollout_ignored(service, reason, rollout.order)

    def _log_rollout(self, service: ServiceName, step: str) -> None:
        rollout = self.rollouts.get(service)
        if rollout is None:
            return
        progress = rollout.compute_progress(self._loop.boottime())
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_ROLLOUT_STEP,
            f"rollout has {step} in the store",
            service=service,
            version=rollout.order.version,
            progress=round(progress, 2),
            evidence=rollout.describe_evidence(),
            sent=rollout.sent_calls,
            sent_new=rollout.sent_new,
        )

    def _report_lost(self, target: Target) -> None:
        registration = target.registration
        is_announced = registration.state is not RegistrationState.READY or self.targets.is_leaving(
            registration.run
        )
        if not is_announced and self.on_target_lost is not None:
            self.on_target_lost(registration)

    def apply_peer_ends(self, ends: list[TargetEnd]) -> None:
        """Adds ends of targets that a peer has seen."""
        has_new = [self.crash_causes.add_end(end) for end in ends]
        if any(has_new) and self.on_peer_ends is not None:
            self.on_peer_ends()

    def apply_unproven_end(self, end: TargetEnd) -> None:
        """Adds an end of which a peer has no proof yet."""
        expires_at = self._loop.boottime() + UNPROVEN_END_S
        self.crash_causes.add_unproven_end(end, expires_at)

    @property
    def report_interval_s(self) -> float:
        """Interval at which the instances report to their peers."""
        return compute_report_interval(len(self.instances), len(self.local_instances))

    def on_evacuations_read(self, data_centres: set[DataCentre]) -> None:
        """Replaces the set of evacuated data centres."""
        self.targets.set_evacuated_data_centres(data_centres)

    def on_evacuation(self, data_centre: DataCentre, is_evacuated: bool) -> None:
        """Evacuates one data centre or returns it to service."""
        self.targets.set_evacuation(data_centre, is_evacuated)
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_DATA_CENTRE_CHANGED,
            "data centre evacuated" if is_evacuated else "data centre back in service",
            data_centre=data_centre,
        )

    def on_desired_version(
        self, model: ModelName, version: WeightVersion, is_initial: bool
    ) -> None:
        """Sets the version that all targets should load."""
        now = self._loop.boottime()
        age_s = max(0.0, self.version_bound_s - VERSION_AGE_GRACE_S) if is_initial else 0.0
        self._version_times.record(model, version)
        record = self.named_versions.assume if is_initial else self.named_versions.record
        if record(model, version, now - age_s):
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_VERSION_NAMED,
                "desired model version set",
                model=model,
                version=version,
                age_s=age_s,
            )

    def find_valid_parts(self, model: ModelName, version: WeightVersion) -> ValidParts:
        """Returns which cached parts a call may use that begins on a version of the weights."""

        def is_valid_engine(address: str) -> bool:
            target = self.targets.find_by_address(address)
            return target is not None and target.get_version(model) == version

        last_valid_time = self._version_times.find_last_valid_time(model, version)
        engines_before, restriction = self._limit_engines(model, version, last_valid_time)
        return ValidParts(
            is_valid_engine,
            in_engines_before=engines_before,
            in_stores_before=last_valid_time,
            allows_saving=self._version_times.find_newer(model, version) is None,
            restriction=restriction,
        )

    def _limit_engines(
        self, model: ModelName, version: WeightVersion, last_valid_time: float
    ) -> tuple[float, str]:
        """Returns since before when engines must hold a part to be its source, and why."""
        newer = self._version_times.find_newer(model, version)
        if newer is None:
            newest_on_targets = self.targets.find_newest_version(model) or version
            newer = newest_on_targets if newest_on_targets > version else None
        if newer is not None:
            return float("-inf"), f"version {newer} is known"
        if self.engine_clock.read(self._loop.now()) is None:
            # Without the engines' time a fetch cannot be limited, and its source may load other
            # weights before it begins.
            return float("-inf"), "engines' time not known"
        timing = plan_waiting_reads(self._bounds.configuration_ms / MS_PER_S)
        age_s = self.operator_records_age_s
        if age_s is None or age_s > timing.compute_takeover_age(0):
            return last_valid_time, "newest version not known"
        return float("inf"), ""

    @property
    def version_bound_s(self) -> float:
        """Seconds after which no call may begin on a version older than a newly named one."""
        return self._bounds.version_ms / MS_PER_S

    def list_recent_versions(self) -> list[NamedVersion]:
        """Returns the recently named versions with their ages, for peers that have just started."""
        max_age_s = VERSION_AGE_FACTOR * self.version_bound_s
        return self.named_versions.list_younger(max_age_s, self._loop.boottime())

    def apply_peer_version(self, named: NamedVersion) -> None:
        """Applies the age of a version as a peer knows it."""
        self._version_times.record(named.model, named.version)
        named_at = self._loop.boottime() - named.age_s
        self.named_versions.record(named.model, named.version, named_at)

    def on_peers(self, peers: list[Peer]) -> None:
        """Divides limits among the live instances and connects to them."""
        self.has_peer_list = True
        if all(peer.instance == self._instance for peer in peers):
            self._has_peer_news = True
        self.instances = tuple(sorted({*(peer.instance for peer in peers), self._instance}))
        self.cold_pacer.set_instances(self.instances)
        data_centres = {peer.instance: peer.data_centre for peer in peers}
        data_centres[self._instance] = self._data_centre
        self.target_limits.set_instances(data_centres, self._loop.boottime())
        local = {peer.instance for peer in peers if peer.data_centre == self._data_centre}
        self.local_instances = tuple(sorted({*local, self._instance}))
        self.loads.set_instance_count(len(self.instances))
        self.cache_sharing.set_instances(len(self.instances), self.local_instances)
        if self.on_peers_changed is not None:
            self.on_peers_changed(peers)

    def record_rate_limit(
        self, registration: Registration, rate: float | None, sent_at: float
    ) -> None:
        """Records the limit that a target names in its response to a call sent at ``sent_at``.

        ``rate`` is in calls per second over all instances; ``sent_at`` is boot time.
        """
        target = self.targets.get(registration.target)
        if target is None or target.registration.run != registration.run:
            return  # The target has ended since the call was sent.
        if self.target_limits.observe(registration, rate, sent_at, self._loop.boottime()):
            self._log_rate_limit(registration.target, rate, "response")

    def record_leaving(self, run: TargetRun) -> None:
        """Records that a target's own response says that this incarnation leaves."""
        if self._mark_leaving(run, "response"):
            self.target_updates.record_leaving(run)

    def apply_peer_leaving(self, run: TargetRun) -> None:
        """Applies that a target's response to a peer said that this incarnation leaves."""
        self._mark_leaving(run, "peer")

    def _mark_leaving(self, run: TargetRun, source: str) -> bool:
        is_new = self.targets.mark_leaving(run, self._loop.now())
        if is_new:
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_TARGET_LEAVING,
                "target says that it leaves",
                target=run.target,
                incarnation=run.incarnation,
                source=source,
            )
        return is_new

    def record_quiet_time(self, run: TargetRun, seconds: float) -> None:
        """Records the time for which a target wants no calls from this instance.

        One incarnation of a target counts: the registered one, if any is.
        """
        current = self.targets.get(run.target)
        if current is not None and current.registration.run != run:
            return
        if self.quiet_times.observe(run, seconds, self._loop.boottime()):
            log_event(
                _LOGGER,
                logging.INFO,
                Event.ENTRY_TARGET_QUIET,
                "target wants no calls for a time",
                target=run.target,
                incarnation=run.incarnation,
                seconds=seconds,
                source="response",
            )

    def may_send(self, target: Target) -> bool:
        """Whether a new call may be sent to the target at this moment."""
        now = self._loop.boottime()
        return (
            self.targets.is_usable(target)
            and self.quiet_times.find_end(target.registration, now) is None
        )

    def apply_peer_limit(self, news: LimitNews) -> None:
        """Applies a limit that a target named in a response to a peer."""
        target = self.targets.get(news.run.target)
        now = self._loop.boottime()
        if target is not None and self.target_limits.apply_news(target.registration, news, now):
            self._log_rate_limit(target.id, news.rate, "peer")

    def _log_rate_limit(self, target: TargetId, rate: float | None, source: str) -> None:
        log_event(
            _LOGGER,
            logging.WARNING,
            Event.ENTRY_RATE_LIMIT_CHANGED,
            "target names a rate limit" if rate is not None else "rate limit lifted",
            target=target,
            calls_per_s=rate,
            sent=self.target_limits.count_sent(target, self._loop.boottime()),
            source=source,
        )

    def on_store_reachability(self, is_reachable: bool, detail: str) -> None:
        """Records whether the store is reachable; targets are kept while it is not."""
        if is_reachable == self._is_store_reachable:
            return
        self._is_store_reachable = is_reachable
        log_event(
            _LOGGER,
            logging.INFO if is_reachable else logging.WARNING,
            Event.LOG_REACHABLE if is_reachable else Event.LOG_UNREACHABLE,
            "platform store reachable" if is_reachable else f"platform store unreachable: {detail}",
        )

    def on_registry_reachability(self, is_reachable: bool) -> None:
        """Keeps targets whose registrations are removed while the registry is not reachable."""
        if is_reachable == self._is_registry_reachable:
            return
        self._is_registry_reachable = is_reachable
        self.targets.set_registry_down(not is_reachable, self._loop.now())
        if not is_reachable:
            self._registry_lost_at = self._loop.boottime()
        else:
            self._has_registry_returned = True
            self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        """Removes targets that have not registered again as soon as the grace period is over."""
        self._loop.call_later(EXPIRY_GRACE_S + TIMER_MARGIN_S, self.remove_expired_targets)

    def on_registry_checked(self, complete_at: float) -> None:
        """Decides, when the registry is back, whether removed targets are gone."""
        if self._has_registry_returned and complete_at <= self._registry_lost_at:
            return  # A message from before the cut or outage that came late.
        was_available = self._heartbeats.complete(complete_at, len(self.targets.targets))
        if not self._has_registry_returned:
            return
        self._has_registry_returned = False
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_REGISTRY_RETURNED,
            (
                "targets wrote to the registry all the time: those removed are gone"
                if was_available
                else "registry may have been away: targets have time to register again"
            ),
            lapsed=[target.id for target in self.targets.targets if target.removed_at is not None],
        )
        if was_available:
            self.targets.end_grace()
            self.remove_expired_targets()

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answered last, as far as known."""
        return self._is_store_reachable is not False

    def remove_expired_targets(self) -> None:
        """Removes expired targets that have not registered again in time.

        The speeds of targets that are gone or have started again are discarded, too.
        """
        for target in self.targets.expire(self._loop.now()):
            self._log_target(target, "removed: no registration since the registry is back", "")
        self.call_costs.prune({target.id: target.registration for target in self.targets.targets})

    def _log_target(self, target: TargetId, state: str, address: str) -> None:
        log_event(
            _LOGGER,
            logging.INFO,
            Event.ENTRY_TARGET_CHANGED,
            f"target is {state}",
            target=target,
            address=address,
        )
