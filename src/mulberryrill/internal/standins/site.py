"""Turns a site description into settings files, keys and tokens for a deployment on one machine.

Nothing generated here is committed: keys and tokens exist only in the output directory.
"""

import copy
import hashlib
import json
import secrets
import socket
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import yaml
import zmq
from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

from ...errors import SettingsError
from ..schema.settings_pb2 import (
    ControlSettings,
    EngineSettings,
    GatewaySettings,
    KeyPair,
    Listen,
    PlainServiceSettings,
    PlatformSettings,
    StoreSettings,
)
from ..settings.files import parse_yaml

HOST = "127.0.0.1"
PRIVATE_MODE = 0o600
CACHE_KEY_SECRET_BYTES = 32
TOKEN_BYTES = 24


@dataclass(frozen=True)
class SiteDataCentre:
    """Numbers of entry instances and targets of one data centre."""

    name: str
    instances: int
    engines: int
    services: int
    stores: int


@dataclass(frozen=True)
class SiteDescription:
    """A deployment on one machine with stand-ins for the external systems.

    Identities, addresses and keys of the embedded settings are generated; their other fields apply
    to each process. ``documents`` are files relative to the site file.
    """

    name: str
    data_centres: list[SiteDataCentre]
    operators: list[str]
    documents: list[str]
    platform: PlatformSettings
    engine: EngineSettings
    service: PlainServiceSettings
    store: StoreSettings
    gateway: GatewaySettings
    control: ControlSettings


# Maps (source, destination, address) to the address at which source reaches destination.
AddressRewriter = Callable[[str, str, str], str]


@dataclass(frozen=True)
class ProcessPlan:
    """One process to start: a module and its settings file.

    ``ready_url`` answers 200 when the process is ready; it is empty for stand-ins.
    """

    name: str
    module: str
    settings: str
    url: str
    ready_url: str = ""


@dataclass(frozen=True)
class InstancePlan:
    """Addresses of one entry instance."""

    name: str
    data_centre: str
    gateway_url: str
    gateway_admin_url: str
    operators_url: str
    control_admin_url: str


@dataclass(frozen=True)
class SitePlan:
    """A generated deployment.

    ``operator_tokens`` is keyed by operator, ``customer_tokens`` by service and then customer.
    """

    name: str
    platform_url: str
    processes: list[ProcessPlan]
    instances: list[InstancePlan]
    documents: list[str]
    operator_tokens: dict[str, str]
    customer_tokens: dict[str, dict[str, str]]


def create_key_pair() -> KeyPair:
    """Returns a new CURVE key pair."""
    public_key, secret_key = zmq.curve_keypair()
    return KeyPair(public_key=public_key.decode("ascii"), secret_key=secret_key.decode("ascii"))


def reserve_ports(count: int) -> list[socket.socket]:
    """Returns sockets bound to free ports that the kernel chose.

    The sockets don't listen, so servers can bind the same ports. While a server restarts, they keep
    the kernel from giving its port to an outgoing connection of another process.
    """
    sockets = []
    for _ in range(count):
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind((HOST, 0))
        sockets.append(bound)
    return sockets


def write_settings(path: Path, settings: Message) -> None:
    """Writes a settings file that only its owner can read."""
    fields = MessageToDict(settings, preserving_proto_field_name=True)
    write_private_file(path, yaml.safe_dump(fields, sort_keys=False))


def write_private_file(path: Path, text: str) -> None:
    """Writes a file that only its owner can read."""
    path.touch(mode=PRIVATE_MODE)
    path.write_text(text, encoding="utf-8")


def load_site(path: str) -> SiteDescription:
    """Reads a site description; raises SettingsError."""
    try:
        fields = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError([f"{path}: cannot be read: {error}"]) from error
    if not isinstance(fields, dict):
        raise SettingsError([f"{path}: expected a mapping of fields at the top level"])
    message_types = {
        "platform": PlatformSettings,
        "engine": EngineSettings,
        "service": PlainServiceSettings,
        "store": StoreSettings,
        "gateway": GatewaySettings,
        "control": ControlSettings,
    }
    for name, message_type in message_types.items():
        text = yaml.safe_dump(fields.get(name, {}))
        fields[name] = parse_yaml(text, message_type, f"{path} ({name})")
    try:
        fields["data_centres"] = [SiteDataCentre(**row) for row in fields["data_centres"]]
        return SiteDescription(**fields)
    except (KeyError, TypeError) as error:
        raise SettingsError([f"{path}: missing or unknown field: {error}"]) from error


def _keep_address(source: str, destination: str, address: str) -> str:
    return address


class SiteWriter:
    """Writes one deployment into a directory.

    ``rewrite_address`` can replace the addresses at which processes reach the platform and peers;
    with ``history``, processes write histories.
    """

    def __init__(
        self,
        site: SiteDescription,
        site_folder: Path,
        output: Path,
        rewrite_address: AddressRewriter = _keep_address,
        history: bool = False,
    ) -> None:
        self._site = site
        self._site_folder = site_folder
        self._output = output
        self._rewrite_address = rewrite_address
        self._history = history
        self._processes: list[ProcessPlan] = []
        self._instances: list[InstancePlan] = []
        self._reserved_sockets = reserve_ports(self._count_ports())
        self._ports = iter([bound.getsockname()[1] for bound in self._reserved_sockets])
        self._platform_url = ""
        self._cache_key_secret = site.gateway.cache_key_secret or secrets.token_hex(
            CACHE_KEY_SECRET_BYTES
        )

    def close(self) -> None:
        """Releases the reserved ports."""
        for bound in self._reserved_sockets:
            bound.close()

    def _count_ports(self) -> int:
        ports = 1  # The platform's.
        for data_centre in self._site.data_centres:
            # Callers, operators, two admin ports, peers, and the gateway's link to control.
            ports += 6 * data_centre.instances
            ports += data_centre.engines + data_centre.services + data_centre.stores
        return ports

    def write(self) -> SitePlan:
        """Writes settings, documents and ``plan.json``; returns the plan."""
        (self._output / "settings").mkdir(parents=True, exist_ok=True)
        (self._output / "documents").mkdir(exist_ok=True)
        (self._output / "history").mkdir(exist_ok=True)
        self._write_platform()
        for data_centre in self._site.data_centres:
            self._write_targets(data_centre)
        operator_tokens = {name: _create_token() for name in self._site.operators}
        self._write_instances(operator_tokens)
        documents, customer_tokens = self._write_documents()
        plan = SitePlan(
            self._site.name,
            self._platform_url,
            self._processes,
            self._instances,
            documents,
            operator_tokens,
            customer_tokens,
        )
        write_plan(self._output / "plan.json", plan)
        self._write_operators(plan)
        return plan

    def _write_operators(self, plan: SitePlan) -> None:
        """Writes what the operators' command line needs: token files and addresses.

        ``applications`` has one line for each document: its owner's token file and its own path.
        """
        folder = self._output / "operators"
        folder.mkdir(exist_ok=True)
        for name, token in plan.operator_tokens.items():
            write_private_file(folder / f"{name}.token", token + "\n")
        urls = ",".join(instance.operators_url for instance in plan.instances)
        (folder / "urls").write_text(urls + "\n", encoding="utf-8")
        lines = []
        for path in plan.documents:
            owner = yaml.safe_load(Path(path).read_text(encoding="utf-8"))["owners"][0]
            lines.append(f"{folder / owner}.token\t{path}\n")
        (folder / "applications").write_text("".join(lines), encoding="utf-8")

    def _allocate_listen(self) -> Listen:
        return Listen(host=HOST, port=next(self._ports))

    def _add_process(
        self, name: str, module: str, settings: Message, url: str, ready_url: str = ""
    ) -> None:
        if self._history and "history_file" in settings.DESCRIPTOR.fields_by_name:
            path = str(self._output / "history" / f"{name}.jsonl")
            setattr(settings, "history_file", path)  # noqa: B010
        path = str(self._output / "settings" / f"{name}.yaml")
        write_settings(Path(path), settings)
        self._processes.append(
            ProcessPlan(name, f"mulberryrill.bin.{module}", path, url, ready_url)
        )

    def _write_platform(self) -> None:
        settings = PlatformSettings()
        settings.CopyFrom(self._site.platform)
        settings.listen.CopyFrom(self._allocate_listen())
        self._platform_url = _create_url(settings.listen)
        self._add_process("platform", "standin_platform", settings, self._platform_url)

    def _write_targets(self, data_centre: SiteDataCentre) -> None:
        name = data_centre.name
        for number in range(1, data_centre.engines + 1):
            engine = EngineSettings()
            engine.CopyFrom(self._site.engine)
            self._write_target(engine, f"{name}-engine-{number}", name, "standin_engine")
        for number in range(1, data_centre.services + 1):
            service = PlainServiceSettings()
            service.CopyFrom(self._site.service)
            self._write_target(service, f"{name}-service-{number}", name, "standin_service")
        for number in range(1, data_centre.stores + 1):
            store = StoreSettings()
            store.CopyFrom(self._site.store)
            self._write_target(store, f"{name}-store-{number}", name, "standin_store")

    def _write_target(
        self,
        settings: EngineSettings | PlainServiceSettings | StoreSettings,
        target: str,
        data_centre: str,
        module: str,
    ) -> None:
        settings.id = target
        settings.data_centre = data_centre
        settings.listen.CopyFrom(self._allocate_listen())
        settings.list_url = self._rewrite_address(target, "platform", self._platform_url)
        self._add_process(target, module, settings, _create_url(settings.listen))

    def _write_instances(self, operator_tokens: dict[str, str]) -> None:
        controls, gateways = [], []
        for data_centre in self._site.data_centres:
            for number in range(1, data_centre.instances + 1):
                control, gateway = self._create_instance(data_centre.name, number)
                controls.append(control)
                gateways.append(gateway)
        for control, gateway in zip(controls, gateways, strict=True):
            for name, token in operator_tokens.items():
                control.site_operators.add(name=name, token_sha256=[hash_token(token)])
            for peer in controls:
                if peer.instance != control.instance:
                    endpoint = self._rewrite_address(
                        control.instance, peer.instance, peer.peer_endpoint
                    )
                    control.peers.add(
                        instance=peer.instance,
                        data_centre=peer.data_centre,
                        endpoint=endpoint,
                        public_key=peer.keys.public_key,
                    )
            self._add_instance(control, gateway)

    def _create_instance(
        self, data_centre: str, number: int
    ) -> tuple[ControlSettings, GatewaySettings]:
        instance = f"{data_centre}-{number}"
        keys = create_key_pair()
        gateway = GatewaySettings()
        gateway.CopyFrom(self._site.gateway)
        control = ControlSettings()
        control.CopyFrom(self._site.control)
        for settings in (gateway, control):
            settings.instance = instance
            settings.data_centre = data_centre
            settings.keys.CopyFrom(keys)
            settings.admin.CopyFrom(self._allocate_listen())
        gateway.name = gateway.name or "gateway-0"
        gateway.callers.CopyFrom(self._allocate_listen())
        gateway.cache_key_secret = self._cache_key_secret
        control.operators.CopyFrom(self._allocate_listen())
        control.peer_endpoint = f"tcp://{HOST}:{next(self._ports)}"
        control.gateway_endpoint = f"tcp://{HOST}:{next(self._ports)}"
        control.gateway_url = _create_url(gateway.callers)
        control.log_url = self._rewrite_address(instance, "platform", self._platform_url)
        control.list_url = control.log_url
        gateway.control_endpoint = control.gateway_endpoint
        gateway.control_public_key = keys.public_key
        return control, gateway

    def _add_instance(self, control: ControlSettings, gateway: GatewaySettings) -> None:
        control_admin, gateway_admin = _create_url(control.admin), _create_url(gateway.admin)
        operators, callers = _create_url(control.operators), _create_url(gateway.callers)
        name = control.instance
        self._add_process(
            f"{name}-control", "control", control, operators, f"{control_admin}/readyz"
        )
        self._add_process(f"{name}-gateway", "gateway", gateway, callers, f"{gateway_admin}/readyz")
        self._instances.append(
            InstancePlan(
                name, control.data_centre, callers, gateway_admin, operators, control_admin
            )
        )

    def _write_documents(self) -> tuple[list[str], dict[str, dict[str, str]]]:
        paths, tokens = [], {}
        for name in self._site.documents:
            text = (self._site_folder / name).read_text(encoding="utf-8")
            document, customers = insert_tokens(text, name)
            path = self._output / "documents" / Path(name).name
            path.write_text(yaml.safe_dump(document, sort_keys=False), encoding="utf-8")
            paths.append(str(path))
            tokens[str(document["service"])] = customers
        return paths, tokens


def insert_tokens(text: str, name: str) -> tuple[dict[str, object], dict[str, str]]:
    """Gives each customer of a document a new token; returns the document and the tokens."""
    document = yaml.safe_load(text)
    if not isinstance(document, dict) or not isinstance(document.get("customers"), list):
        raise SettingsError([f"{name}: customers: expected a list; add the service's customers"])
    document = copy.deepcopy(document)
    tokens = {}
    for customer in document["customers"]:
        tokens[customer["name"]] = _create_token()
        customer["token_sha256"] = [hash_token(tokens[customer["name"]])]
    return document, tokens


def hash_token(token: str) -> str:
    """Returns the digest that stands for a token in documents and settings."""
    return hashlib.sha256(token.encode("utf-8")).hexdigest()


def write_plan(path: Path, plan: SitePlan) -> None:
    """Writes the plan, which contains tokens, readable by its owner only."""
    write_private_file(path, json.dumps(plan, default=vars, indent=1) + "\n")


def read_plan(path: Path) -> SitePlan:
    """Reads a plan written by ``write_plan``."""
    fields = json.loads(path.read_text(encoding="utf-8"))
    fields["processes"] = [ProcessPlan(**process) for process in fields["processes"]]
    fields["instances"] = [InstancePlan(**instance) for instance in fields["instances"]]
    return SitePlan(**fields)


def _create_token() -> str:
    return secrets.token_urlsafe(TOKEN_BYTES)


def _create_url(listen: Listen) -> str:
    return f"http://{listen.host}:{listen.port}"
