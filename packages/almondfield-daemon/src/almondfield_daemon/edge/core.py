"""Builds the app for callers' requests and backend servers' announcements."""

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
    """The part of the fleet's membership that the app uses."""

    async def announce(self, announcement: ServerAnnouncement) -> None:
        """Relay an announcement to the schedulers that need it.

        :param announcement: announcement of a backend server.
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
    :param membership: returns addresses and relays announcements.
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
    # All other paths belong to teams, even those that no route pattern can match.
    app.router.redirect_slashes = False
    app.router.default = CallerEndpoint(router, membership, settings)
    return app
