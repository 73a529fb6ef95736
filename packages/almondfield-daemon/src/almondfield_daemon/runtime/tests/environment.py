"""Gives each scenario a temporary folder."""

import tempfile
from pathlib import Path


def before_scenario(context, scenario):
    temporary_folder = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary_folder.cleanup)
    context.folder = Path(temporary_folder.name)
