"""Which of a route's pools takes a request."""

import xxhash

from almondfield_core.routing import RouteRule

__all__ = ["choose_pool"]

HASH_RANGE = 2**64


def choose_pool(route: RouteRule, request_id: str) -> str:
    """Return the name of a pool, drawn by weight and the same for one request.

    :param route: the route; its weights add up to more than 0.
    :param request_id: identifier of the request.
    """
    if len(route.shares) == 1:
        return route.shares[0].pool
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh64_intdigest(request_id.encode()) / HASH_RANGE * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.pool
    return next(share.pool for share in reversed(route.shares) if share.weight > 0)
