"""Routing tables, published by the control group and leased to the routers."""

from almondfield_control.publishing.core import TablePublisher
from almondfield_control.publishing.messages import ReadReply, ReadRequest
from almondfield_control.publishing.subscription import TableSubscription

__all__ = ["ReadReply", "ReadRequest", "TablePublisher", "TableSubscription"]
