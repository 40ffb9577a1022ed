"""Tests of monsoonproxy."""

import pathlib
import sys

# The folder ``platform`` is added to the path because it can't be a package: it
# would shadow the module of that name in the standard library.
sys.path.append(str(pathlib.Path(__file__).parent.parent / 'platform'))
