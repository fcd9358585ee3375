"""Typed problems that callers and operators receive."""

from almondspread.errors.problems import (
    Conflict,
    Expired,
    Forbidden,
    InvalidInput,
    NotFound,
    OutcomeUnknown,
    Overloaded,
    Problem,
    TooLarge,
    TooSlow,
    Unauthenticated,
    Unavailable,
)

__all__ = [
    "Conflict",
    "Expired",
    "Forbidden",
    "InvalidInput",
    "NotFound",
    "OutcomeUnknown",
    "Overloaded",
    "Problem",
    "TooLarge",
    "TooSlow",
    "Unauthenticated",
    "Unavailable",
]
