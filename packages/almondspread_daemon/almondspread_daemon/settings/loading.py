"""A settings file into typed settings, or all of its faults together."""

import copy
import json
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from almondspread_daemon.settings import structuring
from almondspread_daemon.settings.faults import Fault, InvalidSettings
from almondspread_daemon.settings.rules import RULES
from almondspread_daemon.settings.sections import Settings

# Stand in for required keys that are wrong, so that the rules on other keys run.
_PLACEHOLDERS: dict[structuring.Path, Any] = {
    ("name",): "unknown",
    ("operator",): "unknown",
    ("failure_domain",): "unknown",
    ("failure_domains",): ["unknown"],
    ("platform",): {},
    ("platform", "table_url"): "http://127.0.0.1:1",
    ("platform", "store_url"): "http://127.0.0.1:1",
    ("platform", "instances_url"): "http://127.0.0.1:1",
}


def read_settings(path: Path) -> Result[Settings, InvalidSettings]:
    """Return the settings that a file holds."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        remedy = "name a readable JSON file in UTF-8"
        return _refuse_file(f"{path} ({error})", "the file cannot be read", remedy)
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, InvalidSettings]:
    """Return the settings that a JSON text holds.

    >>> parse_settings("[1").error.faults[0].key
    'the file'
    """
    try:
        document = json.loads(
            text, object_pairs_hook=_refuse_repeats, parse_constant=_refuse_constant
        )
    except (ValueError, RecursionError) as error:
        return _refuse_file(str(error), "it is not JSON", "correct it there")
    return structure_settings(document)


def structure_settings(document: Any) -> Result[Settings, InvalidSettings]:
    """Return the settings that a JSON document describes."""
    settings, faults = structuring.structure_section(document, Settings)
    checked = settings
    if faults and isinstance(document, dict):
        checked = _structure_rest(document, faults)
    found = list(faults.values())
    if checked is not None:
        found.extend(_check_rules(checked, [fault.key for fault in found]))
    if found:
        return Error(InvalidSettings(tuple(found)))
    return Ok(settings)


def _refuse_file(value: str, allowed: str, remedy: str) -> Result[Any, InvalidSettings]:
    """Return the error of a file that holds no document."""
    return Error(InvalidSettings((Fault("the file", value, allowed, remedy),)))


def _refuse_repeats(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object; a key that stands twice would silently hide a value."""
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise ValueError(f"the key {key!r} stands twice in one object")
        found[key] = value
    return found


def _refuse_constant(text: str) -> Any:
    """Refuse the numbers that JSON does not have."""
    raise ValueError(f"{text} is not a JSON number")


def _structure_rest(
    document: dict[str, Any], faults: dict[structuring.Path, Fault]
) -> Settings | None:
    """Return settings in which every wrong key has its default or a placeholder."""
    rest = copy.deepcopy(document)
    for path in faults:
        _replace_key(rest, path)
    settings: Settings | None
    settings, remaining = structuring.structure_section(rest, Settings)
    while remaining:
        for path in remaining:
            if path not in _PLACEHOLDERS:
                return None
            _replace_key(rest, path)
        settings, remaining = structuring.structure_section(rest, Settings)
    return settings


def _replace_key(document: dict[str, Any], path: structuring.Path) -> None:
    """Drop one key, or put its placeholder; for a list item, drop the whole list."""
    keys: list[str] = []
    for part in path:
        if isinstance(part, int):
            break
        keys.append(part)
    section = document
    for key in keys[:-1]:
        section = section[key]
    section.pop(keys[-1], None)
    if tuple(keys) in _PLACEHOLDERS:
        section[keys[-1]] = copy.deepcopy(_PLACEHOLDERS[tuple(keys)])


def _check_rules(settings: Settings, wrong: list[str]) -> list[Fault]:
    """Return the faults of every rule that reads no key already found wrong."""
    found: list[Fault] = []
    for rule in RULES:
        if _reads_any(rule.keys, wrong):
            continue
        found.extend(rule.check(settings))
    return found


def _reads_any(keys: tuple[str, ...], wrong: list[str]) -> bool:
    """Tell whether a wrong path is one of the keys, holds it or lies in it."""
    for key in keys:
        for path in wrong:
            if path == key or path.startswith((key + ".", key + "[")):
                return True
            if key.startswith((path + ".", path + "[")):
                return True
    return False
