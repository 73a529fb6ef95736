"""Time between the demand reports of routers."""

from almondfield_fairshare.windows.core import ReportWindows

__all__ = ["ReportWindows"]
