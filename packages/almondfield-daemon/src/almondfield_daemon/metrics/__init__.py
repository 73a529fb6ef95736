"""Metrics in the Prometheus text format."""

from almondfield_daemon.metrics.core import render_metrics

__all__ = ["render_metrics"]
