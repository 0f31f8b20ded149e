"""Metrics of the control process in the Prometheus text format."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, ProcessCollector

REGISTRY = CollectorRegistry()
ProcessCollector(registry=REGISTRY)

TASK_FAILURES = Counter(
    "control_task_failures", "Steps or handlers that raised.", ["task"], registry=REGISTRY
)
MESSAGES = Counter("control_messages", "Messages received.", ["kind"], registry=REGISTRY)
MESSAGES_REJECTED = Counter(
    "control_messages_rejected", "Undecodable or unauthorised messages.", registry=REGISTRY
)
MESSAGES_DROPPED = Counter(
    "control_messages_dropped", "Messages that no connection could take.", registry=REGISTRY
)
PEER_BYTES = Counter(
    "control_peer_bytes", "Bytes of messages between instances.", ["direction"], registry=REGISTRY
)
RECORDS = Counter("control_log_records", "Log records read.", ["stream"], registry=REGISTRY)
RECORDS_CORRUPT = Counter(
    "control_log_records_corrupt", "Log records skipped as corrupt.", registry=REGISTRY
)
APPENDS = Counter("control_log_appends", "Appends to the log.", ["result"], registry=REGISTRY)
POLLS = Counter("control_target_polls", "Polls of target state.", ["result"], registry=REGISTRY)
CLAIMS = Counter("control_claims", "Answered claims.", ["status"], registry=REGISTRY)
CALLS = Counter("control_operator_calls", "Operators' calls.", ["status"], registry=REGISTRY)
SNAPSHOTS = Counter("control_snapshots_sent", "Snapshots sent.", registry=REGISTRY)
FOLDED_OFFSET = Gauge("control_folded_offset", "Last folded offset.", registry=REGISTRY)
IN_FORCE_OFFSET = Gauge("control_in_force_offset", "Offset in force here.", registry=REGISTRY)
READY = Gauge("control_ready", "1 when this instance is ready.", registry=REGISTRY)
LOG_REACHABLE = Gauge("control_log_reachable", "1 while the log answers.", registry=REGISTRY)
UNLOGGED_ENTRIES = Gauge(
    "control_unlogged_entries", "Entries that wait for the log.", registry=REGISTRY
)
HANDLING_SECONDS = Histogram(
    "control_handling_seconds", "Time of the main task for one message.", registry=REGISTRY
)
