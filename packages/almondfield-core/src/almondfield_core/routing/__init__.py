"""The routing table: routes, pools of backend servers, teams and their keys."""

from almondfield_core.routing.checking import check_routing_table
from almondfield_core.routing.core import (
    EngineLimits,
    PoolShare,
    RequestKind,
    RequestLimits,
    RouteRule,
    RoutingTable,
    ServerPool,
    TeamKeys,
)
from almondfield_core.routing.homes import DomainRegions, regions_of_request
from almondfield_core.routing.index import RoutingIndex
from almondfield_core.routing.prompt import Prompt, PromptPart

__all__ = [
    "DomainRegions",
    "EngineLimits",
    "PoolShare",
    "Prompt",
    "PromptPart",
    "RequestKind",
    "RequestLimits",
    "RouteRule",
    "RoutingIndex",
    "RoutingTable",
    "ServerPool",
    "TeamKeys",
    "check_routing_table",
    "regions_of_request",
]
