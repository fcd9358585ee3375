"""Roles, and which of them each route is open to."""

from enum import Enum

from attrs import define
from expression import Error, Ok, Result

from almondspread.errors import Forbidden, Problem, Unauthenticated

CALLER = "caller"
OPERATOR = "operator"
ADMIN = "admin"
ANONYMOUS = "anonymous"


class Access(Enum):
    """What a route is for; the value names the roles that it is open to."""

    PUBLIC = (ANONYMOUS, CALLER, OPERATOR, ADMIN)
    REQUEST = (CALLER, ADMIN)
    OPERATE = (OPERATOR, ADMIN)


@define(frozen=True)
class Identity:
    """Who a request comes from. ``team`` is empty where a token is for all teams.

    ``name`` is what logs and conflicts show, never the token.
    """

    role: str
    team: str = ""
    name: str = ANONYMOUS

    def may_change(self, team: str) -> bool:
        """Tell whether the identity may change the resources of a team."""
        return self.role == ADMIN or not self.team or self.team == team


NOBODY = Identity(ANONYMOUS)
UNGUARDED = Identity(ADMIN, name="local")


def authorize(identity: Identity, access: Access) -> Result[Identity, Problem]:
    """Return the identity where its role may use a route.

    >>> authorize(Identity(CALLER), Access.OPERATE).error.code
    'forbidden'
    """
    if identity.role in access.value:
        return Ok(identity)
    if identity.role == ANONYMOUS:
        return Error(
            Unauthenticated(
                "the request has no valid bearer token",
                "send the header Authorization: Bearer with a token of this deployment",
            )
        )
    return Error(
        Forbidden(
            f"a token of role {identity.role} may not use this route",
            "use a token of role " + " or ".join(access.value),
        )
    )
