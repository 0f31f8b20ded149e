"""Import and export of KV cache blocks between the engine stand-in and stores.

The bytes of a block are derived from its prefix, customer, model and version, so that an engine
notices when a store returns a block for which any of these differ.
"""

import hashlib
import json
import logging
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from ...errors import HttpError
from ..events import Event
from ..httpclient import HttpClient
from ..logs import log_event
from .enginemodel import Run

KV_BLOCK_BYTES = 64 * 1024
TRANSFER_TIMEOUT_S = 10.0
EXPORT_THREADS = 2
_LOGGER = logging.getLogger(__name__)


def create_block_data(chain_key: bytes) -> bytes:
    """Returns the bytes of the block with this prefix chain key."""
    return chain_key * (KV_BLOCK_BYTES // len(chain_key))


class KvTransfer:
    """Imports and exports blocks; after a failed import, the prompt is computed again."""

    def __init__(self, record: Callable[[str, dict[str, object]], None]) -> None:
        self._record = record
        self._pool = ThreadPoolExecutor(EXPORT_THREADS, thread_name_prefix="export")

    def close(self) -> None:
        """Finishes running exports."""
        self._pool.shutdown(wait=True)

    def import_blocks(self, extension: Mapping[str, object], run: Run) -> int:
        """Fetches the blocks named by ``kv_import``; returns how many leading ones are usable."""
        source = extension.get("kv_import")
        if not isinstance(source, dict):
            return 0
        client = HttpClient()
        usable = 0
        try:
            for block, chain_key in zip(source["blocks"], run.block_keys, strict=False):
                data = _fetch_block(client, str(source["store"]), block)
                if data != create_block_data(chain_key):
                    fields: dict[str, object] = {"attempt": run.attempt, "request": run.request}
                    self._record("foreign_block", {**fields, "key": block["key"]})
                    break
                usable += 1
        except (HttpError, KeyError, TypeError) as error:
            log_event(_LOGGER, logging.INFO, Event.STANDIN_BLOCK_IMPORT_FAILED, f"import: {error}")
        finally:
            client.close()
        return usable

    def start_export(self, run: Run) -> None:
        """Exports the blocks of a finished run in the background, if its request asked for it."""
        if run.kv_export is not None:
            self._pool.submit(self._export, run, run.kv_export)

    def _export(self, run: Run, destination: Mapping[str, object]) -> None:
        client = HttpClient()
        keys, first_block = destination.get("keys"), destination.get("first_block", 0)
        try:
            if not isinstance(first_block, int) or first_block < 0:
                raise TypeError("kv_export.first_block must be a whole number")
            chain_keys = run.block_keys[first_block:]
            for key, chain_key in zip(keys or [], chain_keys, strict=False):  # type: ignore[call-overload]
                _write_block(
                    client, str(destination["store"]), str(key), create_block_data(chain_key)
                )
        except (HttpError, KeyError, TypeError) as error:
            log_event(_LOGGER, logging.INFO, Event.STANDIN_BLOCK_IMPORT_FAILED, f"export: {error}")
        finally:
            client.close()


def _fetch_block(client: HttpClient, store: str, block: Mapping[str, object]) -> bytes:
    """Returns one generation of a block; raises HttpError if length or digest is wrong."""
    url = f"{store.rstrip('/')}/v1/blocks/{block['key']}/{block['generation']}"
    response = client.send("GET", url, timeout_s=TRANSFER_TIMEOUT_S)
    if response.status != 200:
        raise HttpError(f"GET {url}: status {response.status}", sent=True)
    digest = hashlib.sha256(response.body).hexdigest()
    if len(response.body) != block["length"] or digest != block["digest"]:
        raise HttpError(f"GET {url}: other length or digest than announced", sent=True)
    return response.body


def _write_block(client: HttpClient, store: str, key: str, data: bytes) -> None:
    url = f"{store.rstrip('/')}/v1/blocks/{key}"
    opened = client.send("POST", url, timeout_s=TRANSFER_TIMEOUT_S)
    state = opened.parse_json()
    if opened.status != 201 or not isinstance(state, dict):
        raise HttpError(f"POST {url}: status {opened.status}", sent=True)
    version_url = f"{url}/{state['generation']}"
    commit = {"length": len(data), "digest": hashlib.sha256(data).hexdigest()}
    for method, path, body in (
        ("PUT", version_url, data),
        ("POST", f"{version_url}/commit", json.dumps(commit).encode("ascii")),
    ):
        response = client.send(method, path, body, timeout_s=TRANSFER_TIMEOUT_S)
        if response.status >= 300:
            raise HttpError(f"{method} {path}: status {response.status}", sent=True)
