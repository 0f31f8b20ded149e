"""The exception tree. Each layer raises its own class and turns the errors of the layer below."""


class MulberryrillError(Exception):
    """Base class of all errors raised by this package."""


class SettingsError(MulberryrillError):
    """A settings file or document is invalid.

    The message names file, line and field, and says what to do.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class TransportError(MulberryrillError):
    """A message between the system's own processes could not be sent or decoded."""


class HttpError(MulberryrillError):
    """An HTTP exchange failed.

    ``sent`` tells whether any byte of the request may have reached the server.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class PlatformError(MulberryrillError):
    """The platform's log or list could not be used."""


class AppendInDoubtError(PlatformError):
    """An append may or may not be in the log."""


class OffsetExpiredError(PlatformError):
    """The requested offset is older than the log keeps; ``first_offset`` is the oldest one kept."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the log starts at offset {first_offset}")
        self.first_offset = first_offset


class StoreCallError(PlatformError):
    """A call to the platform's store got no useful answer.

    ``status`` is 0 without an answer. ``in_doubt`` tells whether a write may have been done.
    """

    def __init__(self, message: str, status: int, in_doubt: bool) -> None:
        super().__init__(message)
        self.status = status
        self.in_doubt = in_doubt


class CorruptRecordError(PlatformError):
    """A log record does not match its digest or cannot be decoded."""


class CoreError(MulberryrillError):
    """A decision cannot be made from the given messages."""


class GatewayError(MulberryrillError):
    """A gateway cannot serve."""


class EntryError(MulberryrillError):
    """The entry program cannot serve, or a call is answered without a target."""


class OperatorError(MulberryrillError):
    """An operator's command failed; ``exit_code`` is the program's exit code."""

    def __init__(self, message: str, exit_code: int) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class LoadError(MulberryrillError):
    """A load run cannot be carried out."""


class HistoryError(MulberryrillError):
    """A history file cannot be read."""
