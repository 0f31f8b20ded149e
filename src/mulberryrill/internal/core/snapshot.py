"""The state that a gateway needs to serve requests, as an immutable snapshot."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from ...errors import SettingsError
from ..ids import CustomerName, DataCentre, Incarnation, PoolName, ServiceName, TargetId
from ..schema import documents_pb2, log_pb2, wire_pb2
from ..settings.files import parse_yaml
from .messages import CostWeights, MemberState, Priority, TargetState

DEFAULT_DEADLINE_S = 60.0
_TARGET_KINDS = (wire_pb2.engine, wire_pb2.service)


@dataclass(frozen=True)
class CustomerConfig:
    """A customer of a service and its limits; a limit of 0 means none."""

    name: CustomerName
    requests_per_second: float
    concurrent: int
    weight: float


@dataclass(frozen=True)
class ServiceConfig:
    """A service's document in the form that the gateway uses; times in seconds."""

    name: ServiceName
    revision: int
    is_model: bool
    pool: PoolName
    models: tuple[tuple[str, str], ...]
    # By lower-case hexadecimal SHA-256 of the customer's bearer tokens.
    customers: Mapping[str, CustomerConfig]
    priority: Priority
    deadline_s: float
    # (method, case-folded path) of calls that must run at most once.
    non_repeatable: frozenset[tuple[str, str]]
    weights: CostWeights

    def find_version(self, model: str) -> str | None:
        """Returns the current version of a model, or None if the service does not have it."""
        return next((version for name, version in self.models if name == model), None)

    def is_repeatable(self, method: str, path: str) -> bool:
        """Returns whether a call may run more than once; ``path`` is relative to the service."""
        return (method.upper(), normalize_path(path).casefold()) not in self.non_repeatable


@dataclass(frozen=True)
class EntryMember:
    """The gateway of an entry instance, with data centre and base URL."""

    instance: str
    data_centre: DataCentre
    address: str


@dataclass(frozen=True)
class StoreMember:
    """A KV cache store, with data centre and base URL."""

    store: str
    data_centre: DataCentre
    address: str


@dataclass(frozen=True)
class Snapshot:
    """The configuration, orders, members and targets that are in force at one time."""

    epoch: str = ""
    version: int = 0
    folded_offset: int = -1
    ready: bool = False
    live_instances: int = 1
    max_instances: int = 1
    services: Mapping[ServiceName, ServiceConfig] = field(default_factory=dict)
    drained: frozenset[DataCentre] = frozenset()
    targets: Mapping[TargetId, TargetState] = field(default_factory=dict)
    entries: tuple[EntryMember, ...] = ()
    # Live stores of all data centres.
    stores: tuple[StoreMember, ...] = ()
    quarantine: tuple[log_pb2.QuarantineEntry, ...] = ()
    # Errors of documents that could not be parsed; their last valid revision stays in force.
    problems: tuple[str, ...] = ()

    def find_customer(self, service: ServiceName, token_hash: str) -> CustomerConfig | None:
        """Returns the customer of a service that a token identifies, or None."""
        config = self.services.get(service)
        return config.customers.get(token_hash) if config else None

    def list_model_services(self, token_hash: str) -> list[ServiceConfig]:
        """Returns the model services of which a token identifies a customer, sorted by name."""
        return [
            config
            for _, config in sorted(self.services.items())
            if config.is_model and token_hash in config.customers
        ]

    def is_known_token(self, token_hash: str) -> bool:
        """Returns whether a token identifies a customer of any service."""
        return any(token_hash in config.customers for config in self.services.values())


def hash_token(token: str) -> str:
    """Returns the SHA-256 of a bearer token in hexadecimal, as documents hold it."""
    return hashlib.sha256(token.encode("utf-8")).hexdigest()


def normalize_path(path: str) -> str:
    """Returns the canonical form of a path, so that ``//pay/`` cannot evade a rule for ``/pay``."""
    parts: list[str] = []
    for part in path.split("/"):
        if part == "..":
            parts[-1:] = []
        elif part not in ("", "."):
            parts.append(part)
    return "/" + "/".join(parts)


class SnapshotHolder:
    """Holds the current snapshot and refuses older ones."""

    def __init__(self) -> None:
        self.current = Snapshot()
        self._past_epochs: set[str] = set()

    def apply(self, update: wire_pb2.SnapshotUpdate) -> bool:
        """Replaces the snapshot unless the update is older; returns whether it was replaced.

        A restarted control process has a new epoch, in which versions start again. Its updates are
        refused until its configuration is at least as recent, so that a restart reverts nothing.
        """
        if not self._is_newer(update):
            return False
        if self.current.epoch and update.epoch != self.current.epoch:
            self._past_epochs.add(self.current.epoch)
        self.current = build_snapshot(update, self.current)
        return True

    def _is_newer(self, update: wire_pb2.SnapshotUpdate) -> bool:
        current = self.current
        if update.epoch in self._past_epochs:
            return False
        if update.epoch == current.epoch:
            return update.version > current.version
        if current.ready and not update.ready:
            return False
        return update.folded_offset >= current.folded_offset


def build_snapshot(update: wire_pb2.SnapshotUpdate, previous: Snapshot) -> Snapshot:
    """Converts an update into a snapshot; an invalid document keeps its previous revision."""
    services: dict[ServiceName, ServiceConfig] = {}
    problems: list[str] = []
    for view in update.services:
        name = ServiceName(view.service)
        previous_config = previous.services.get(name)
        if previous_config is not None and previous_config.revision == view.revision:
            services[name] = previous_config
            continue
        try:
            services[name] = _read_service(view)
        except SettingsError as error:
            problems.extend(error.problems)
            if previous_config is not None:
                services[name] = previous_config
    return Snapshot(
        epoch=update.epoch,
        version=update.version,
        folded_offset=update.folded_offset,
        ready=update.ready,
        live_instances=max(1, update.live_instances),
        max_instances=max(1, update.max_instances),
        services=services,
        drained=_list_drained(update),
        targets=_join_targets(update),
        entries=_list_entries(update),
        stores=_list_stores(update),
        quarantine=tuple(update.quarantine),
        problems=tuple(problems),
    )


def _read_service(view: wire_pb2.ServiceView) -> ServiceConfig:
    document = parse_yaml(view.document, documents_pb2.ServiceDocument, view.service)
    customers = {
        digest.lower(): CustomerConfig(
            CustomerName(customer.name),
            customer.requests_per_second,
            customer.concurrent,
            customer.weight or 1.0,
        )
        for customer in document.customers
        for digest in customer.token_sha256
    }
    is_batch = document.priority == documents_pb2.batch
    costs = document.costs
    weights = CostWeights(costs.time_to_first_token, costs.recomputation, costs.link)
    return ServiceConfig(
        name=ServiceName(view.service),
        revision=view.revision,
        is_model=document.kind == documents_pb2.model,
        pool=PoolName(document.pool),
        models=tuple((model.name, model.version) for model in document.models),
        customers=customers,
        priority=Priority.BATCH if is_batch else Priority.INTERACTIVE,
        deadline_s=document.deadline_ms / 1000 or DEFAULT_DEADLINE_S,
        non_repeatable=frozenset(
            (rule.method.upper(), normalize_path(rule.path).casefold())
            for rule in document.calls
            if rule.HasField("repeatable") and not rule.repeatable
        ),
        weights=weights if document.HasField("costs") else CostWeights(),
    )


def _list_drained(update: wire_pb2.SnapshotUpdate) -> frozenset[DataCentre]:
    """Returns the data centres that are drained by the order in force."""
    in_force: dict[str, log_pb2.DataCentreOrder] = {}
    for order in sorted(update.orders, key=lambda o: (o.epoch, o.author, o.order_id)):
        in_force[order.data_centre] = order
    return frozenset(
        DataCentre(name) for name, order in in_force.items() if order.state == log_pb2.DRAINED
    )


def _join_targets(update: wire_pb2.SnapshotUpdate) -> dict[TargetId, TargetState]:
    """Joins the listed targets with their watchers' reports; targets without one are left out."""
    views = {view.target: view for view in update.targets}
    targets: dict[TargetId, TargetState] = {}
    for member in update.members:
        view = views.get(member.id)
        if member.kind not in _TARGET_KINDS or view is None:
            continue
        leaving = member.state == wire_pb2.leaving
        targets[TargetId(member.id)] = TargetState(
            target=TargetId(member.id),
            data_centre=DataCentre(member.data_centre),
            pool=PoolName(member.pool),
            address=member.address.rstrip("/"),
            state=MemberState.LEAVING if leaving else MemberState.LIVE,
            incarnation=Incarnation(view.incarnation),
            healthy=view.health == wire_pb2.HEALTHY,
            running=view.running,
            waiting=view.waiting,
            max_concurrency=view.max_concurrency,
            models=frozenset((model.name, model.version) for model in view.models),
        )
    return targets


def _list_entries(update: wire_pb2.SnapshotUpdate) -> tuple[EntryMember, ...]:
    return tuple(
        EntryMember(member.id, DataCentre(member.data_centre), member.address.rstrip("/"))
        for member in update.members
        if member.kind == wire_pb2.entry and member.state != wire_pb2.leaving and member.address
    )


def _list_stores(update: wire_pb2.SnapshotUpdate) -> tuple[StoreMember, ...]:
    return tuple(
        StoreMember(member.id, DataCentre(member.data_centre), member.address.rstrip("/"))
        for member in update.members
        if member.kind == wire_pb2.store and member.state != wire_pb2.leaving and member.address
    )
