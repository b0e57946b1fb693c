"""Names of the store's tables in requests of one node to another.

The name states the era that the sender has the table in. A node of a build that knows
no eras has no table of such a name and refuses the request, whereas it would end the
connection because of an unknown field.
"""

import re

_TABLE_NAME_PATTERN = re.compile(r"(?P<table>.*)@(?P<era>[0-9]{1,18})", re.DOTALL)


def build_table_name(table: str, era: int) -> str:
    """Return the name of a table in an era of the store.

    >>> build_table_name("servers", 2)
    'servers@2'
    """
    return f"{table}@{era}"


def split_table_name(name: str) -> tuple[str, int | None]:
    """Return a table and the era that a request states.

    >>> split_table_name("servers@2"), split_table_name("servers")
    (('servers', 2), ('servers', None))

    :returns: ``None`` as the era for a request of a build that knows no eras.
    """
    match = _TABLE_NAME_PATTERN.fullmatch(name)
    if match is None:
        return name, None
    return match["table"], int(match["era"])
