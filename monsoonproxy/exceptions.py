"""Exceptions of the package.

Each layer raises its own exceptions and converts those of the layer below.
"""


class MonsoonError(Exception):
    """Base of all errors of the package."""


class SettingsError(MonsoonError):
    """A daemon's settings file is not valid."""


class ConfigurationError(MonsoonError):
    """A service declaration is not valid."""


class ConflictError(ConfigurationError):
    """The configuration was changed by another operator meanwhile."""


class StatementError(MonsoonError):
    """A statement or its options (marks) can't be accepted."""


class MarksError(StatementError):
    """An option (mark) of a request is unknown or out of range."""


class TokenError(MonsoonError):
    """A session token is malformed, forged or expired."""


class PlatformError(MonsoonError):
    """A service of the platform failed or did not answer in time."""


class PreconditionError(PlatformError):
    """A conditional write was refused: the stored version differs."""


class OverloadedError(PlatformError):
    """The platform rejected a call due to overload, and did not run it."""


class HistoryLostError(PlatformError):
    """The platform no longer has the changes since the requested version."""


class StoreRestoredError(HistoryLostError):
    """The store was restored from an older copy since a version was read."""


class FencedError(PlatformError):
    """The platform refused an order, since its fencing token is outdated."""


class DialectError(MonsoonError):
    """Bytes of a wire protocol can't be decoded."""


class PeerError(MonsoonError):
    """A peer daemon can't be reached."""


class BackendError(MonsoonError):
    """A backend server refused or failed a statement.

    :param code: The MySQL error code.
    :param sqlstate: The five-character SQLSTATE.
    :param message: The message of the backend server.
    """

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        super().__init__(code, sqlstate, message)
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


class TooManyConnectionsError(BackendError):
    """The backend server has reached its connection limit (1040)."""


class TermChangedError(BackendError):
    """The transaction was rolled back because the term changed (3100)."""


class ConnectionLostError(MonsoonError):
    """A connection to a backend server was lost or could not be opened.

    :param sent: Whether the statement may have reached the backend server.
    :param refused: Whether the backend server's host refused the connection.
    :param runs_until: Time in ms, by this daemon's clock, until which the
        statement may still begin to run: a lending daemon may forward it, or
        the backend server may have it in its queue.
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool = False,
        refused: bool = False,
        runs_until: int = 0,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused
        self.runs_until = runs_until
