"""Import and export of KV cache blocks between the engine stand-in and stores.

The bytes of a block are derived from its prefix, customer, model and version, so that an engine
notices when a store hands it a block that belongs to something else.
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
    """Moves blocks; a failed import only means that the prompt is computed again."""

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

    def _export(self, run: Run, target: Mapping[str, object]) -> None:
        client = HttpClient()
        keys, first = target.get("keys"), target.get("first_block", 0)
        try:
            if not isinstance(first, int) or first < 0:
                raise TypeError("kv_export.first_block must be a whole number")
            chain_keys = run.block_keys[first:]
            for key, chain_key in zip(keys or [], chain_keys, strict=False):  # type: ignore[call-overload]
                _write_block(client, str(target["store"]), str(key), create_block_data(chain_key))
        except (HttpError, KeyError, TypeError) as error:
            log_event(_LOGGER, logging.INFO, Event.STANDIN_BLOCK_IMPORT_FAILED, f"export: {error}")
        finally:
            client.close()


def _fetch_block(client: HttpClient, store: str, block: Mapping[str, object]) -> bytes:
    """Returns the bytes of one generation; raises HttpError if they are not the announced ones."""
    url = f"{store.rstrip('/')}/v1/blocks/{block['key']}/{block['generation']}"
    answer = client.send("GET", url, timeout_s=TRANSFER_TIMEOUT_S)
    if answer.status != 200:
        raise HttpError(f"GET {url}: status {answer.status}", sent=True)
    digest = hashlib.sha256(answer.body).hexdigest()
    if len(answer.body) != block["length"] or digest != block["digest"]:
        raise HttpError(f"GET {url}: other length or digest than announced", sent=True)
    return answer.body


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
        answer = client.send(method, path, body, timeout_s=TRANSFER_TIMEOUT_S)
        if answer.status >= 300:
            raise HttpError(f"{method} {path}: status {answer.status}", sent=True)
