"""Findings: problems of an input, each with its place, reported together."""

from almondfield_core.findings.core import AlmondfieldError, Finding, FindingsError
from almondfield_core.findings.reading import read_checked
from almondfield_core.findings.structuring import (
    StructuringError,
    format_value,
    structure,
)
from almondfield_core.findings.toml import read_toml

__all__ = [
    "AlmondfieldError",
    "Finding",
    "FindingsError",
    "StructuringError",
    "format_value",
    "read_checked",
    "read_toml",
    "structure",
]
