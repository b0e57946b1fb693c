"""Keeps httpcore from importing async libraries that nothing here runs on.

This module has to be imported before httpcore, so the package imports it first.
"""

import importlib.util
import sys

# Importing trio, where it is installed, takes a tenth of a second of a node's start.
sys.modules.setdefault("trio", None)

# httpcore tries to import sniffio several times per request. If sniffio isn't
# installed, each attempt searches all of sys.path; a None entry in sys.modules makes it
# fail at once.
if importlib.util.find_spec("sniffio") is None:
    sys.modules["sniffio"] = None
