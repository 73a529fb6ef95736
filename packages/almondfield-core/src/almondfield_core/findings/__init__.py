"""Findings: problems collected with their place and reported together."""

from almondfield_core.findings.core import AlmondfieldError, Finding, FindingsError

__all__ = ["AlmondfieldError", "Finding", "FindingsError"]
