"""Splits a route's requests between its pools by weight."""

import xxhash

from almondfield_core.routing import RouteRule

__all__ = ["choose_pool"]

HASH_RANGE = 2**64


def choose_pool(route: RouteRule, request_id: str) -> str:
    """Return the name of a pool, chosen by weight and stable for a request id.

    :param route: the route; the sum of its weights is more than 0.
    :param request_id: identifier of the request.
    """
    if len(route.shares) == 1:
        return route.shares[0].pool
    total = sum(share.weight for share in route.shares)
    position = xxhash.xxh64_intdigest(request_id.encode()) / HASH_RANGE * total
    for share in route.shares:
        position -= share.weight
        if position < 0:
            return share.pool
    return next(share.pool for share in reversed(route.shares) if share.weight > 0)
