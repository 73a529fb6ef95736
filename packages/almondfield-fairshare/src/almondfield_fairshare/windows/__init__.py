"""How often routers report."""

from almondfield_fairshare.windows.core import ReportWindows

__all__ = ["ReportWindows"]
