"""Errors that a simulated backend server sends to its clients."""


class SqlError(Exception):
    """An error packet.

    :param code: MySQL error code.
    :param sqlstate: The five-character SQLSTATE.
    :param message: Error text.
    """

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        super().__init__(code, sqlstate, message)
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


def read_only() -> SqlError:
    """Return the error for a write on a replica.

    :returns: Error 1290.
    """
    return SqlError(
        1290,
        'HY000',
        'the server is a replica and refuses statements that write',
    )


def term_changed() -> SqlError:
    """Return the error for a transaction that a term change ended.

    :returns: Error 3100.
    """
    return SqlError(
        3100, 'HY000', 'the term changed; the transaction was rolled back'
    )


def term_refused(reason: str) -> SqlError:
    """Return the error for a refused term.

    :param reason: Why it is refused.
    :returns: Error 3101.
    """
    return SqlError(3101, 'HY000', f'term refused: {reason}')


def syntax_error(near: str) -> SqlError:
    """Return the error for a statement that can't be parsed.

    :param near: The text that was not expected.
    :returns: Error 1064.
    """
    excerpt = near[:80]
    return SqlError(1064, '42000', f"You have an error near '{excerpt}'")
