"""Tests of configuration files and documents."""

import pathlib

from monsoonproxy import configuration
from tests.fixtures import load_functions

load_tests = load_functions(__name__)

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'


def test_examples() -> None:
    """Guards against examples that are not accepted or have other sizes."""
    base = str(EXAMPLES / 'base.toml')
    sizes = {'al-suwaiq': (35, 3, 'Sohar'), 'gqeberha': (60, 4, 'bay')}
    for site, (limit, zones, zone) in sizes.items():
        found = configuration.load(base, str(EXAMPLES / f'{site}.toml'))
        members = [m for s in found.services.values() for m in s.members]
        assert len(found.services) == 3
        assert {len(s.members) for s in found.services.values()} == {3}
        assert {s.slots for s in found.services.values()} == {2}
        assert {s.connection_limit for s in found.services.values()} == {limit}
        used = {member.availability_zone for member in members}
        assert len(used) == zones
        assert zone in used
        document = found.to_document()
        assert configuration.Configuration.from_document(document) == found
