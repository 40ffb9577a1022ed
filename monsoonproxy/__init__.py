"""A database proxy with session consistency.

The programs are ``monsoonproxyd`` (the daemon) and ``monsoonctl`` (the tool).
"""

from monsoonproxy.exceptions import MonsoonError
from monsoonproxy.models import Marks, Position

__version__ = '0.1.0'

__all__ = ('Marks', 'MonsoonError', 'Position', '__version__')
