"""Numbered log events. Each number is listed with its meaning in docs/events.md.

Ranges: 1000 process, 1100 gateway, 1200 control, 1300 platform, 1400 core, 1500 stand-ins,
1600 load and history.
"""

from enum import IntEnum


class Event(IntEnum):
    """The number of a log event."""

    PROCESS_STARTED = 1000
    PROCESS_STOPPING = 1001
    PROCESS_STOPPED = 1002
    SETTINGS_INVALID = 1003
    TASK_FAILED = 1004
    HTTP_HANDLER_FAILED = 1005
    MESSAGE_REJECTED = 1006
    STANDIN_LIST_UNREACHABLE = 1500
    STANDIN_CRASHED = 1501
    STANDIN_FAULT_SET = 1502
    STANDIN_BLOCK_IMPORT_FAILED = 1503
    HISTORY_VIOLATION = 1600
