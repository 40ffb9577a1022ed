"""Tokens of the SQL subset."""

import re

import attrs

from emulator.errors import syntax_error
from emulator.log import Cell

_TOKEN = re.compile(
    r"""
    (?P<space>\s+|--[ \t][^\n]*|\#[^\n]*|/\*.*?\*/)
    |(?P<hex>[xX]'[0-9a-fA-F]*'|0x[0-9a-fA-F]+)
    |(?P<string>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")
    |(?P<number>\d+(?:\.\d+)?)
    |(?P<quoted>`[^`]+`)
    |(?P<word>@{0,2}[A-Za-z_][\w$]*)
    |(?P<mark><=|>=|<>|!=|[-+*/%=<>(),;.])
    """,
    re.DOTALL | re.VERBOSE,
)
_ESCAPE = re.compile(r'\\(.)|\'\'|""', re.DOTALL)
_ESCAPED = {'0': '\0', 'n': '\n', 'r': '\r', 't': '\t', 'b': '\b', 'Z': '\x1a'}


def to_bytes(text: str) -> bytes:
    """Return the bytes that the client sent for a piece of text.

    :param text: Part of a decoded statement.
    :returns: Its bytes.
    """
    return text.encode('utf-8', 'surrogateescape')


@attrs.frozen
class Token:
    """A token.

    :param kind: ``hex``, ``string``, ``number``, ``quoted``, ``word``,
        ``mark`` or ``end``.
    :param text: Its text.
    """

    kind: str
    text: str

    @property
    def upper(self) -> str:
        """Return a keyword or mark in upper case.

        :returns: The text, or nothing for a literal or quoted name.
        """
        return self.text.upper() if self.kind in {'word', 'mark'} else ''

    def cell(self) -> Cell:
        """Return the value of a literal.

        :returns: A whole number or bytes.
        """
        if self.kind == 'number':
            return (
                int(self.text) if self.text.isdigit() else to_bytes(self.text)
            )
        if self.kind == 'hex':
            digits = self.text[2:].rstrip("'")
            return bytes.fromhex(digits.zfill(len(digits) + len(digits) % 2))
        return to_bytes(unescape(self.text))


def unescape(quoted: str) -> str:
    """Return the text of a string literal.

    :param quoted: The literal with its quotes.
    :returns: The text.
    """
    quote, body = quoted[0], quoted[1:-1]
    if '\\' not in body and quote not in body:
        return body

    def replacement(match: re.Match[str]) -> str:
        escaped = match.group(1)
        if escaped is None:
            return quote if match.group() == quote * 2 else match.group()
        return _ESCAPED.get(escaped, escaped)

    return _ESCAPE.sub(replacement, body)


def tokenize(sql: str) -> list[Token]:
    """Split a statement into tokens, without comments.

    :param sql: The statement.
    :returns: The tokens and an end mark.
    :raises SqlError: If some text is no token.
    """
    tokens = []
    place = 0
    while place < len(sql):
        match = _TOKEN.match(sql, place)
        if match is None:
            raise syntax_error(sql[place:])
        if match.lastgroup != 'space':
            tokens.append(Token(match.lastgroup or '', match.group()))
        place = match.end()
    while tokens and tokens[-1].text == ';':
        tokens.pop()
    tokens.append(Token('end', ''))
    return tokens


class Cursor:
    """Reads tokens one after the other.

    :param tokens: What :func:`tokenize` returned.
    """

    def __init__(self, tokens: list[Token]) -> None:
        self._tokens = tokens
        self._place = 0

    @property
    def token(self) -> Token:
        """Return the next token without taking it.

        :returns: The token.
        """
        return self._tokens[self._place]

    def take(self) -> Token:
        """Take the next token.

        :returns: The token.
        """
        token = self._tokens[self._place]
        if token.kind != 'end':
            self._place += 1
        return token

    def accept(self, *words: str) -> bool:
        """Take some keywords or marks if all of them come next.

        :param words: The keywords in upper case.
        :returns: Whether they were taken.
        """
        ahead = self._tokens[self._place : self._place + len(words)]
        if tuple(token.upper for token in ahead) != words:
            return False
        self._place += len(words)
        return True

    def expect(self, *words: str) -> None:
        """Take keywords or marks that must come next.

        :param words: The keywords in upper case.
        :raises SqlError: If something else comes next.
        """
        if not self.accept(*words):
            raise syntax_error(self.token.text)

    def name(self) -> str:
        """Take a name; of a qualified name, only the last part counts.

        :returns: The name.
        :raises SqlError: If no name comes next.
        """
        token = self.take()
        if token.kind not in {'word', 'quoted'}:
            raise syntax_error(token.text)
        if self.accept('.'):
            return self.name()
        return token.text.strip('`')

    def cell(self) -> Cell:
        """Take a literal.

        :returns: Its value.
        :raises SqlError: If no literal comes next.
        """
        if self.accept('NULL'):
            return None
        self.accept('_BINARY')
        if self.accept('-'):
            number = self.take()
            if number.kind != 'number':
                raise syntax_error(number.text)
            positive = number.cell()
            if isinstance(positive, int):
                return -positive
            return to_bytes(f'-{number.text}')
        token = self.take()
        if token.kind not in {'number', 'hex', 'string'}:
            raise syntax_error(token.text)
        return token.cell()

    def names(self) -> tuple[str, ...]:
        """Take a list of names in parentheses.

        :returns: The names.
        """
        self.expect('(')
        found = [self.name()]
        while self.accept(','):
            found.append(self.name())
        self.expect(')')
        return tuple(found)

    def finish(self) -> None:
        """Check that nothing is left.

        :raises SqlError: If something is left.
        """
        if self.token.kind != 'end':
            raise syntax_error(self.token.text)
