"""The kinds of orders, and how each changes what a server announces."""

from dataclasses import dataclass, replace

from almondfield_core.messages import ServerAnnouncement

__all__ = [
    "ROLE_LABEL",
    "ChangeRole",
    "FencedOrder",
    "LoadModel",
    "Order",
    "UnloadModel",
    "apply_order",
    "is_done",
]

ROLE_LABEL = "role"


@dataclass(frozen=True)
class LoadModel:
    """Load a model with adapters in place of what is loaded.

    :ivar model: name of the model.
    :ivar version: version of the model; if empty, the server chooses it.
    :ivar adapters: adapters to load with it.
    """

    model: str
    version: str = ""
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class UnloadModel:
    """Unload the model that is loaded."""


@dataclass(frozen=True)
class ChangeRole:
    """Change the server's role and keep its model.

    :ivar role: the role, which the server announces as its label ``role``.
    """

    role: str


Order = LoadModel | UnloadModel | ChangeRole


@dataclass(frozen=True)
class FencedOrder:
    """An order to one server with its fencing number.

    :ivar server: name of the server.
    :ivar address: ``host:port`` of the server.
    :ivar order: the order.
    :ivar fencing: number that increases with each order; a resent order keeps its own.
    """

    server: str
    address: str
    order: Order
    fencing: int


def apply_order(order: Order, server: ServerAnnouncement) -> ServerAnnouncement:
    """Return what a server announces once an order is carried out.

    :param order: the order.
    :param server: current announcement of the server.
    """
    match order:
        case LoadModel(model, version, adapters):
            version = version or (server.version if server.model == model else "")
            return replace(server, model=model, version=version, adapters=adapters)
        case UnloadModel():
            return replace(server, model="", version="", adapters=())
        case ChangeRole(role):
            labels = server.label_by_name | {ROLE_LABEL: role}
            return replace(server, label_by_name=labels)


def is_done(order: Order, server: ServerAnnouncement) -> bool:
    """Return whether a server announces that it has carried out an order.

    :param order: the order.
    :param server: current announcement of the server.
    """
    match order:
        case LoadModel(model, version, adapters):
            loaded = server.model == model and version in ("", server.version)
            return loaded and set(adapters) <= set(server.adapters)
        case UnloadModel():
            return not server.model
        case ChangeRole(role):
            return server.label_by_name.get(ROLE_LABEL) == role
