"""The blocks of a repeated prompt that no engine caches any more are imported from a store."""

import unittest
from functools import partial

from mulberryrill.internal.history.reading import HistoryEvent, read_history
from mulberryrill.internal.standins.enginemodel import TOKENS_PER_BLOCK
from mulberryrill.internal.standins.prefixcache import BLOCK_BYTES
from mulberryrill.internal.standins.pseudotext import digest_text, generate_tokens
from mulberryrill.internal.standins.site import SiteDataCentre
from tests.common.deployment import Deployment, create_site, wait_until
from tests.common.verification import check_histories

GATEWAYS = ("kariakoo-1", "kariakoo-2")
STORE = "kariakoo-store-1"
OWNER, OTHER = "kariakoo-market", "msasani-slipway"
BLOCKS = 4
TOKENS = 10
LINK_BYTES_PER_S = 8_000_000
WAIT_TIMEOUT_S = 20
# On a busy machine a lookup may time out; then the store isn't used for a while and the prompt is
# computed. One import in these rounds shows that imports work.
MAX_ROUNDS = 8


def create_prompt(topic: str) -> str:
    """Returns a prompt of BLOCKS whole blocks and a partial one."""
    line = f"sales history of {topic}: "
    return (line * (BLOCKS * BLOCK_BYTES // len(line) + 9))[: BLOCKS * BLOCK_BYTES + 100]


class StoresTest(unittest.TestCase):
    """Guards against stores that are never used, or whose blocks are used for another prompt."""

    def start(self, engines: int) -> None:
        self.engines = [f"kariakoo-engine-{n}" for n in range(1, engines + 1)]
        site = create_site(data_centres=1)
        site.data_centres[0] = SiteDataCentre("kariakoo", 2, engines, services=1, stores=1)
        site.gateway.store_link_bytes_per_second = LINK_BYTES_PER_S
        self.deployment = Deployment(site)
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        self.deployment.apply_documents()
        self.deployment.wait_serving()
        self.probe_count = 0

    def test_returning_prompt_is_imported_by_another_gateway_and_only_for_its_customer(
        self,
    ) -> None:
        self.start(engines=1)
        prompt = create_prompt("vanilla")
        self.fill_store(prompt)
        self.assertEqual(self.import_prompt(prompt), BLOCKS * TOKENS_PER_BLOCK)
        line = 'mulberryrill_kv_blocks_total{direction="import",service="flavour-questions"}'
        self.assertIn(f"{line} {BLOCKS:.1f}", self.read_metrics(GATEWAYS[1]))
        # Store and engine have the blocks of the same prompt, but for another customer.
        self.assertEqual(self.complete(GATEWAYS[0], prompt, OTHER), 0)
        check_histories(self, self.deployment, blocks=4, owners=4)

    def test_store_that_is_killed_costs_only_the_cache(self) -> None:
        self.start(engines=1)
        prompt = create_prompt("coconut")
        self.fill_store(prompt)
        self.restart_engines()
        self.deployment.kill(STORE)
        self.assertEqual(self.complete(GATEWAYS[1], prompt), 0)
        self.assertEqual(self.complete(GATEWAYS[0], prompt), BLOCKS * TOKENS_PER_BLOCK)
        check_histories(self, self.deployment, blocks=3, owners=3)

    def test_attempt_after_a_failed_one_imports_nothing(self) -> None:
        """Guards against an import that makes every attempt of a request fail."""
        self.start(engines=2)
        prompt = create_prompt("cinnamon")
        self.fill_store(prompt)
        for _ in range(MAX_ROUNDS):
            self.restart_engines()
            before = len(self.list_transfers("read"))
            # Both engines import what they are told to and then reject the request once.
            for engine in self.engines:
                self.deployment.set_faults(engine, reject=1)
            self.complete(GATEWAYS[1], prompt)
            read = len(self.list_transfers("read")) - before
            if read:
                break
        self.assertEqual(read, BLOCKS)

    def fill_store(self, prompt: str) -> None:
        """Sends the prompt until the store holds all its blocks."""

        def is_filled() -> bool:
            self.complete(GATEWAYS[0], prompt)
            return len({e.get("key") for e in self.list_transfers("write")}) >= BLOCKS

        wait_until(is_filled, WAIT_TIMEOUT_S, "all blocks are in the store")

    def import_prompt(self, prompt: str) -> int:
        """Returns the cached tokens of the first run on an empty engine that has any."""
        for _ in range(MAX_ROUNDS):
            self.restart_engines()
            cached = self.complete(GATEWAYS[1], prompt)
            if cached:
                return cached
        return 0

    def complete(self, gateway: str, prompt: str, customer: str = OWNER) -> int:
        """Sends a prompt, checks its text and returns how many of its tokens were cached."""
        text = self.deployment.complete(gateway, prompt, TOKENS, customer=customer)
        digest = digest_text(prompt)
        self.assertEqual(text, "".join(generate_tokens("flavour-7b", "3", digest, TOKENS)))
        runs = [e for e in self.list_events("execution") if e.get("prompt_sha256") == digest]
        return runs[-1].get_number("cached_tokens")

    def restart_engines(self) -> None:
        """Restarts the engines and waits until both gateways use the new incarnations."""
        old = {event.get("incarnation") for event in self.list_events("dispatch")}
        for engine in self.engines:
            self.deployment.set_faults(engine, restart=1)
        for gateway in GATEWAYS:
            wait_until(
                partial(self.uses_new_incarnations, gateway, old),
                WAIT_TIMEOUT_S,
                f"{gateway} uses the restarted engines",
            )

    def uses_new_incarnations(self, gateway: str, old: set[str]) -> bool:
        """Returns whether the gateway has sent requests to new incarnations of all engines.

        Sends a short prompt first; ``old`` has the incarnations before the restart.
        """
        self.probe_count += 1
        self.deployment.complete(gateway, f"restarted? {self.probe_count}", 1)
        sent = [e for e in self.list_events("dispatch") if e.process.startswith(gateway)]
        new = {e.get("target") for e in sent if e.get("incarnation") not in old}
        return new.issuperset(self.engines)

    def list_transfers(self, direction: str) -> list[HistoryEvent]:
        return [e for e in self.list_events("transfer") if e.get("direction") == direction]

    def read_metrics(self, gateway: str) -> str:
        url = self.deployment.find_process(f"{gateway}-gateway").ready_url
        return self.deployment.send("GET", url.replace("/readyz", "/metrics")).body.decode()

    def list_events(self, kind: str) -> list[HistoryEvent]:
        return read_history(self.deployment.list_history_files()).select(kind)
