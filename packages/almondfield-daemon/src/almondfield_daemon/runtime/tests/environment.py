"""A folder of its own for each scenario."""

import tempfile
from pathlib import Path


def before_scenario(context, scenario):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    context.folder = Path(scratch.name)
