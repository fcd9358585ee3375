"""Documents of operators into resources and back."""

from typing import Any

from expression import Error, Ok, Result

from almondspread.codec import structure_document, unstructure_value
from almondspread.errors import InvalidInput
from almondspread.resources.kinds import KINDS, Resource

_KIND_OF_TYPE = {kind: name for name, kind in KINDS.items()}


def parse_resource(document: Any) -> Result[tuple[str, Resource], InvalidInput]:
    """Return the kind and resource that a JSON document declares.

    >>> document = {"kind": "team", "metadata": {"name": "routes"},
    ...             "cpu_millis": 4000, "memory_mib": 8192}
    >>> kind, team = parse_resource(document).ok
    >>> kind, team.quota.cpu_millis
    ('team', 4000)
    """
    if not isinstance(document, dict):
        return Error(InvalidInput("a resource is not an object", "send an object"))
    body = dict(document)
    kind = body.pop("kind", None)
    if not isinstance(kind, str) or kind not in KINDS:
        remedy = "use one of " + ", ".join(KINDS)
        return Error(InvalidInput(f"kind {kind!r} is not known", remedy))
    parsed: Result[Any, InvalidInput] = structure_document(body, KINDS[kind])
    if parsed.is_error():
        return Error(parsed.error)
    return Ok((kind, parsed.ok))


def describe_resource(resource: Resource) -> dict[str, Any]:
    """Return the JSON document that declares a resource."""
    document = {"kind": _KIND_OF_TYPE[type(resource)]}
    document.update(unstructure_value(resource))
    return document
