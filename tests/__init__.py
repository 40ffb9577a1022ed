"""Tests of monsoonproxy."""

import pathlib
import sys

# The adapter's folder has no name under which it could be installed: a package
# ``platform`` would hide the standard library's module.
sys.path.append(str(pathlib.Path(__file__).parent.parent / 'platform'))
