"""Runs every feature folder with behave and prints the totals as the last line.

A feature folder is a folder named ``tests`` that holds ``*.feature`` files. A failing
scenario that KNOWN-RED.txt names is printed but does not count as failed. Folders run
at the same time, but for those that hold a file ``run-alone``: they run one after the
other when all others have ended, as their scenarios load the machine.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORKERS = max(2, (os.cpu_count() or 2) // 2)
KNOWN_RED_PREFIX = "test: "
HASH_SEED = "0"
ALONE_MARKER = "run-alone"


def find_folders(paths):
    """Return the feature folders, only those below the given paths if there are any."""
    features = ROOT.glob("**/tests/*.feature")
    skipped = {".venv", ".git", "target"}
    folders = {
        feature.parent
        for feature in features
        if not skipped & set(feature.relative_to(ROOT).parts)
    }
    if paths:
        roots = [Path(path).resolve() for path in paths]
        folders = {f for f in folders if any(f.is_relative_to(root) for root in roots)}
    return sorted(folders)


def read_known_red():
    """Return the names of the scenarios that KNOWN-RED.txt lists."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def run_folders(folders):
    """Yield the result of each folder; see :func:`run_folder`."""
    alone = [folder for folder in folders if (folder / ALONE_MARKER).exists()]
    with ThreadPoolExecutor(WORKERS) as pool:
        together = [folder for folder in folders if folder not in alone]
        yield from pool.map(run_folder, together)
    yield from map(run_folder, alone)


def run_folder(folder):
    """Return (folder, scenario results as (name, status), output) of a folder."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-capture"]
        command += ["-f", "json", "-o", str(report), "-f", "plain", str(folder)]
        python_path = [ROOT / "tools", ROOT / "bench", ROOT / "platform", ROOT]
        env = os.environ | {"PYTHONPATH": os.pathsep.join(map(str, python_path))}
        # A fixed seed gives sets of strings the same iteration order in every run.
        env["PYTHONHASHSEED"] = HASH_SEED
        completed = subprocess.run(command, capture_output=True, text=True, env=env)
        output = completed.stdout + completed.stderr
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            return (
                folder,
                [(f"{folder.relative_to(ROOT)} did not run", "error")],
                output,
            )
    results = [
        (element["name"].strip(), element.get("status", "untested"))
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    return folder, results, output


def main():
    """Return 0 if scenarios passed and none failed outside KNOWN-RED.txt, else 1."""
    known_red = read_known_red()
    passed = 0
    failed = []
    for folder, results, output in run_folders(find_folders(sys.argv[1:])):
        not_passed = [name for name, status in results if status != "passed"]
        unexpected = [name for name in not_passed if name not in known_red]
        passed += len(results) - len(not_passed)
        failed += [f"{folder.relative_to(ROOT)}: {name}" for name in unexpected]
        print(
            f"{folder.relative_to(ROOT)}: {len(results)} run, "
            f"{len(not_passed)} not passed"
        )
        for name in not_passed:
            print(f"  {'FAILED' if name in unexpected else 'known red'}: {name}")
        if unexpected:
            print(output)
    # Again, as the end of the output may be all that is kept of it.
    for name in failed:
        print(f"FAILED: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
