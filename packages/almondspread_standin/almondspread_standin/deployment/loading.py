"""Reads deployment files and the workloads that go with them."""

import json
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from almondspread.codec import structure_document
from almondspread.errors import InvalidInput
from almondspread.resources import Resource, parse_resource
from almondspread_standin.deployment.layout import Deployment


def read_deployment(path: Path) -> Result[Deployment, InvalidInput]:
    """Return the deployment that a JSON file describes."""
    document = _read_json(path)
    if document.is_error():
        return Error(document.error)
    parsed = structure_document(document.ok, Deployment)
    if parsed.is_error():
        return parsed
    conflicts = parsed.ok.find_conflicts()
    if conflicts:
        reasons = f"{path}: " + "; ".join(conflicts)
        return Error(InvalidInput(reasons, "give each its own name and port"))
    return parsed


def read_workloads(path: Path) -> Result[list[Resource], InvalidInput]:
    """Return the resources that a JSON list in a file declares."""
    document = _read_json(path)
    if document.is_error():
        return Error(document.error)
    if not isinstance(document.ok, list):
        return Error(InvalidInput(f"{path} is not a list", "write a list of resources"))
    resources: list[Resource] = []
    for item in document.ok:
        parsed = parse_resource(item)
        if parsed.is_error():
            return Error(parsed.error)
        resources.append(parsed.ok[1])
    return Ok(resources)


def _read_json(path: Path) -> Result[Any, InvalidInput]:
    """Return what a JSON file holds."""
    try:
        return Ok(json.loads(path.read_text(encoding="utf-8")))
    except (OSError, ValueError) as error:
        remedy = "name a readable file that holds JSON"
        return Error(InvalidInput(f"{path}: {error}", remedy))
