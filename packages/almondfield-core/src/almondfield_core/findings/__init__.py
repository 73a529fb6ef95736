"""Findings: problems of an input, each with its place, reported together."""

from almondfield_core.findings.core import AlmondfieldError, Finding, FindingsError
from almondfield_core.findings.json_reading import read_json
from almondfield_core.findings.reading import read_checked
from almondfield_core.findings.structuring import (
    StructuringError,
    format_value,
    structure,
)
from almondfield_core.findings.toml import read_toml
from almondfield_core.findings.values import (
    MAX_INTEGER,
    MIN_INTEGER,
    Integer,
    PositiveInteger,
    check_address,
    check_number,
)

__all__ = [
    "AlmondfieldError",
    "MAX_INTEGER",
    "MIN_INTEGER",
    "Finding",
    "FindingsError",
    "Integer",
    "PositiveInteger",
    "StructuringError",
    "check_address",
    "check_number",
    "format_value",
    "read_checked",
    "read_json",
    "read_toml",
    "structure",
]
