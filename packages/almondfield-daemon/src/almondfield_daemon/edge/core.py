"""Builds the app that takes callers' requests and backend servers' announcements."""

from typing import Any, Protocol

from starlette.applications import Starlette
from starlette.routing import Route

from almondfield_core.messages import ServerAnnouncement
from almondfield_core.settings import DaemonSettings
from almondfield_daemon.edge.announcements import AnnouncementEndpoint
from almondfield_daemon.edge.caller import CallerEndpoint
from almondfield_daemon.edge.replies import AddressEndpoint
from almondfield_daemon.router import Router

__all__ = ["FleetMembership", "build_caller_app"]


class FleetMembership(Protocol):
    """What the app asks of the fleet's membership."""

    async def announce(self, announcement: ServerAnnouncement) -> None:
        """Pass an announcement to the schedulers that need it.

        :param announcement: what a backend server says of itself.
        """

    def addresses(self) -> Any:
        """Return a data class with the addresses that callers are to use."""


def build_caller_app(
    router: Router,
    membership: FleetMembership,
    settings: DaemonSettings,
    backend_token: str,
) -> Starlette:
    """Return the app for the callers' port.

    :param router: serves callers' requests.
    :param membership: knows the addresses and passes announcements on.
    :param settings: settings of the daemon.
    :param backend_token: token that backend servers present.
    """
    announcements = AnnouncementEndpoint(membership, settings.limits, backend_token)
    app = Starlette(
        routes=[
            Route("/addresses", AddressEndpoint(membership, settings.timing)),
            Route("/announcements", announcements),
        ]
    )
    # Every other path is a team's, also one that a route pattern can't match.
    app.router.redirect_slashes = False
    app.router.default = CallerEndpoint(router, membership, settings)
    return app
