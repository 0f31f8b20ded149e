"""Human-readable output: one value per line, lists of objects as tables."""

from datetime import UTC, datetime
from typing import Any

TIME_SUFFIX = "_unix_ms"


def format_object(value: dict[str, Any], indent: str = "") -> str:
    """Returns the fields of an object, one per line; nested objects are indented."""
    lines = []
    for name, item in value.items():
        label = _format_label(name)
        if isinstance(item, dict):
            lines += [f"{indent}{label}:", format_object(item, indent + "  ")]
        elif isinstance(item, list) and item and isinstance(item[0], dict):
            lines += [f"{indent}{label}:", format_table(item, indent + "  ")]
        else:
            lines.append(f"{indent}{label}: {format_value(name, item)}")
    return "\n".join(lines)


def format_history(entries: list[dict[str, Any]]) -> str:
    """Returns a table of changes; the most looked-up columns come first."""
    rows = [
        {
            "recorded_unix_ms": entry.get("recorded_unix_ms"),
            "offset": entry.get("offset"),
            "author": entry.get("author"),
            "based_on": entry.get("base_revision"),
            "result": "accepted" if entry.get("accepted") else f"refused: {entry.get('refusal')}",
            "reason": entry.get("reason"),
            "change_id": entry.get("change_id"),
        }
        for entry in entries
    ]
    return format_table(rows) if rows else "no changes"


def format_table(rows: list[dict[str, Any]], indent: str = "") -> str:
    """Returns a table with one row per object and the field names as header."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    table = [[_format_label(name) for name in names]]
    table += [[format_value(name, row.get(name)) for name in names] for row in rows]
    widths = [max(len(cells[column]) for cells in table) for column in range(len(names))]
    lines = (
        "  ".join(cell.ljust(w) for cell, w in zip(cells, widths, strict=True)) for cells in table
    )
    return "\n".join(indent + line.rstrip() for line in lines)


def format_value(name: str, value: object) -> str:
    """Returns one value as text; times in milliseconds are written in UTC."""
    if value is None or value == "" or value == []:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if name.endswith(TIME_SUFFIX) and isinstance(value, int):
        return datetime.fromtimestamp(value / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, list):
        return ", ".join(format_value(name, item) for item in value)
    if isinstance(value, dict):
        return ", ".join(f"{key}={format_value(key, item)}" for key, item in value.items())
    return str(value)


def _format_label(name: str) -> str:
    return name.removesuffix(TIME_SUFFIX).replace("_", " ")
