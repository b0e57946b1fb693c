"""Exit codes and advice for operators on how to resolve errors."""

from enum import IntEnum

from apricotlift.core.errors import ApricotliftError, Code


class Exit(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    OTHER = 1
    USAGE = 2
    CONFLICT = 3
    NOT_ACCEPTED = 4
    FINDINGS = 5
    UNREACHABLE = 6


_EXITS_BY_CODE = {
    Code.CONFLICT: Exit.CONFLICT,
    Code.NOT_ACCEPTED: Exit.NOT_ACCEPTED,
    Code.BAD_SETTINGS: Exit.FINDINGS,
    Code.BAD_DECLARATIONS: Exit.FINDINGS,
    Code.TABLE_UNAVAILABLE: Exit.UNREACHABLE,
    Code.TABLE_UNCLEAR: Exit.UNREACHABLE,
    Code.OBJECTS_UNAVAILABLE: Exit.UNREACHABLE,
    Code.PEER_UNREACHABLE: Exit.UNREACHABLE,
}

_ADVICE_BY_CODE = {
    Code.CONFLICT: (
        "merge the other change into your declarations, look at `apricotlift diff`, "
        "and apply again with the version that it prints as --base"
    ),
    Code.BAD_SETTINGS: "correct the settings file and run the command again",
    Code.BAD_DECLARATIONS: "correct the declarations and run `apricotlift check`",
    Code.TABLE_UNAVAILABLE: (
        "nothing was changed; check the table service and the [platform] section "
        "of the settings, then run the command again"
    ),
    Code.TABLE_UNCLEAR: (
        "run the same command again: it reports either the version that this change "
        "made or the change that won"
    ),
    Code.OBJECTS_UNAVAILABLE: (
        "nothing was changed; check the object store and the [platform] section "
        "of the settings, then run the command again"
    ),
    Code.OBJECT_MISSING: "restore the document in the object store",
    Code.OBJECT_CORRUPT: "restore the document in the object store",
    Code.PEER_UNREACHABLE: (
        "check that the instance runs and that [node] admin in the settings is "
        "its admin listener; `apricotlift status` of another node shows the members"
    ),
    Code.UNAUTHENTICATED: (
        "check that [operator] key_file holds a key that is declared as an "
        "[operator NAME] and has not expired"
    ),
    Code.NOT_FOUND: (
        "look for the request id in the logs; only the node that served a request "
        "can explain it"
    ),
}


class UsageError(Exception):
    """An invalid command line; the message says what is expected."""


def choose_exit(error: ApricotliftError) -> Exit:
    """Return the exit code for an error."""
    return _EXITS_BY_CODE.get(error.code, Exit.OTHER)


def get_advice(error: ApricotliftError) -> str:
    """Return what the operator can do about an error, or an empty string."""
    return _ADVICE_BY_CODE.get(error.code, "")
