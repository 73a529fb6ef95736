"""The processes of a measured deployment: daemons, stand-ins and relays."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import aiosonic
import tomlkit

from almondfield_core.clock import now
from almondfield_core.tables import PoolKind
from deployment import OPERATOR_TOKEN, Deployment, HostPlan, PoolPlan
from measures import ServerLoss
from relay import Relay
from standins import RunRecord

__all__ = ["Fleet", "FleetError"]

BENCH_FOLDER = Path(__file__).parent
BIN_FOLDER = Path(sys.executable).parent
READY_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 2.0
EXIT_TIMEOUT_S = 60.0
RELAY_PORT_OFFSET = 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SENT_BYTES_METRIC = 'almondfield_peers_sent_bytes{kind="frames"}'
CONTROL_CPU_METRIC = "almondfield_peers_processor_s"


class FleetError(Exception):
    """Raised if the deployment does not start or its hosts do not answer."""


@dataclass(frozen=True)
class ControlUse:
    """Resources that one daemon has used for control so far.

    :ivar sent_bytes: bytes sent to other hosts.
    :ivar processor_s: processor seconds for messages, from the daemon's metrics.
    :ivar scheduled_pools: number of pools that it schedules.
    :ivar is_leader: whether it leads the control group.
    """

    sent_bytes: float
    processor_s: float
    scheduled_pools: int
    is_leader: bool


class Fleet:
    """Real daemons and stand-ins as processes.

    :param deployment: the deployment, whose files are not written yet.
    :param relayed: whether paths between hosts and to stand-ins use relays.
    """

    def __init__(self, deployment: Deployment, relayed: bool) -> None:
        self.deployment = deployment
        self.daemon_by_host: dict[str, subprocess.Popen[bytes]] = {}
        self.stand_in_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.relay_by_path: dict[tuple[str, str], Relay] = {}
        self.losses: list[ServerLoss] = []
        self._relayed = relayed

    async def start(self) -> None:
        """Return once every host is ready and the tables are in force."""
        self.deployment.write()
        if self._relayed:
            await self._start_relays()
        for host in self.deployment.hosts:
            self.start_daemon(host)
        for plan in self.deployment.profile.pools:
            for index in range(plan.servers):
                self._start_stand_in(plan, index)
        await self._wait_until_ok("/ready")
        await self._apply_tables()

    async def stop(self) -> None:
        """Kill every process that was started and stop the relays."""
        processes = (*self.daemon_by_host.values(), *self.stand_in_by_name.values())
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
        for relay in self.relay_by_path.values():
            await relay.stop()

    def host(self, name: str) -> HostPlan:
        """Return the plan of a host."""
        return next(host for host in self.deployment.hosts if host.name == name)

    def start_daemon(self, host: HostPlan) -> None:
        """Start the daemon of a host."""
        command = [
            str(BIN_FOLDER / "almondfieldd"),
            "--settings",
            str(host.settings_file),
        ]
        errors = open(self.deployment.folder / f"{host.name}.err", "ab")  # noqa: SIM115
        self.daemon_by_host[host.name] = subprocess.Popen(command, stderr=errors)
        errors.close()

    def record_loss(self, name: str, died: bool) -> None:
        """Record that a stand-in left or crashed now.

        :param name: name of the stand-in.
        :param died: whether it crashed, which ends the requests running on it.
        """
        pools = self.deployment.profile.pools
        slots = next(p.slots for p in pools if name.startswith(f"{p.name}-"))
        self.losses.append(ServerLoss(name, slots, now(), died))

    async def stop_daemon(self, name: str) -> int:
        """Stop a daemon with SIGTERM and return its exit code."""
        process = self.daemon_by_host[name]
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.1)
        return process.returncode

    def _start_stand_in(self, plan: PoolPlan, index: int) -> None:
        name = f"{plan.name}-{index + 1}"
        address = self.deployment.stand_in_address(plan, index)
        folder = self.deployment.folder
        command = [sys.executable, str(BENCH_FOLDER / "standins.py"), "--name", name]
        command += ["--address", address, "--pool", plan.name]
        if ("", name) in self.relay_by_path:
            command += ["--announced", self.relay_by_path["", name].listen]
        command += ["--data-centre", self.deployment.stand_in_data_centre(index)]
        command += ["--resumes"] if plan.kind is PoolKind.MODEL and index % 2 else []
        command += ["--slots", str(plan.slots), "--kind", plan.kind.value]
        command += ["--token-file", str(folder / "backend.token")]
        command += ["--ledger-file", str(folder / f"{name}.ledger")]
        for seed in self.deployment.seeds:
            command += ["--seeds", seed]
        self.stand_in_by_name[name] = subprocess.Popen(command)

    async def _start_relays(self) -> None:
        port = self.deployment.first_port
        hosts = self.deployment.hosts
        for source_index, source in enumerate(hosts):
            settings = tomlkit.parse(source.settings_file.read_text())
            for row, target in zip(settings["hosts"], hosts):
                if target == source:
                    continue
                relay_port = port + RELAY_PORT_OFFSET + source_index
                relay = Relay(
                    f"{target.address}:{relay_port}", f"{target.address}:{port + 2}"
                )
                row["peer_port"] = relay_port
                self.relay_by_path[source.name, target.name] = relay
            source.settings_file.write_text(tomlkit.dumps(settings))
        for plan in self.deployment.profile.pools:
            for index in range(plan.servers):
                target = self.deployment.stand_in_address(plan, index)
                host = target.rsplit(":", 1)[0]
                relay = Relay(f"{host}:{port + RELAY_PORT_OFFSET}", target)
                self.relay_by_path["", f"{plan.name}-{index + 1}"] = relay
        for relay in self.relay_by_path.values():
            await relay.start()

    async def _apply_tables(self) -> None:
        command = [str(BIN_FOLDER / "almondfield"), "apply"]
        command += [str(self.deployment.folder / "tables.toml")]
        command += ["--token-file", str(self.deployment.folder / "operator.token")]
        for operator in self.deployment.operators:
            command += ["--host", operator]
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        out, err = await process.communicate()
        if process.returncode:
            raise FleetError(f"apply failed: {out.decode()} {err.decode()}")

    async def _wait_until_ok(self, path: str) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for operator in self.deployment.operators:
                    while await self.fetch(operator, path) is None:
                        await asyncio.sleep(0.1)
        except TimeoutError:
            errors = self.deployment.folder.glob("*.err")
            texts = [f"{e.name}: {e.read_text()[-1500:]}" for e in errors]
            raise FleetError(f"no status 200 from {path}: {texts}") from None

    async def fetch(self, operator: str, path: str) -> str | None:
        """Return an operator port's response body, or None if its status is not 200."""
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S), aiosonic.HTTPClient() as client:
                response = await client.get(f"http://{operator}{path}", headers=headers)
                text = await response.text()
        except (Exception, TimeoutError):
            return None
        return text if response.status_code == 200 else None

    async def status(self) -> dict[str, object]:
        """Return the fleet's status from the first host that answers."""
        for operator in self.deployment.operators:
            text = await self.fetch(operator, "/v1/status")
            if text is not None:
                return json.loads(text)
        raise FleetError("no host answers /v1/status")

    async def schedulers(self) -> dict[str, str]:
        """Return the scheduler's host by pool."""
        status = await self.status()
        return {lease["pool"]: lease["host"] for lease in status["pool_leases"]}

    async def read_control_use(self) -> dict[str, ControlUse]:
        """Return the control use of each daemon that answers, by host."""
        status = await self.status()
        scheduling = [lease["host"] for lease in status["pool_leases"]]
        uses = {}
        for host, operator in zip(self.deployment.hosts, self.deployment.operators):
            text = await self.fetch(operator, "/metrics")
            if text is None:
                continue
            uses[host.name] = ControlUse(
                sum_metric(text, SENT_BYTES_METRIC),
                sum_metric(text, CONTROL_CPU_METRIC),
                scheduling.count(host.name),
                status["leader"] == host.name,
            )
        return uses

    def control_figures(self, before, after, seconds: float) -> dict[str, float]:
        """Return the largest control traffic and processor share by role of host.

        Keys without a prefix cover the hosts that schedule no pool; the prefix
        ``router_`` covers those of them that do not lead the control group either.
        """
        figures: dict[str, float] = {}
        measured_hosts = before.keys() & after.keys()
        schedulers = {name for name in measured_hosts if after[name].scheduled_pools}
        leaders = {
            name
            for name in measured_hosts
            if after[name].is_leader or before[name].is_leader
        }
        for prefix, names in (
            ("", measured_hosts - schedulers),
            ("scheduler_", schedulers),
            ("router_", measured_hosts - schedulers - leaders),
        ):
            sent = [after[n].sent_bytes - before[n].sent_bytes for n in names]
            used_s = [after[n].processor_s - before[n].processor_s for n in names]
            figures[f"{prefix}control_bytes_per_second"] = (
                max(sent, default=0) / seconds
            )
            figures[f"{prefix}control_cpu_share"] = max(used_s, default=0) / seconds
        return figures

    def largest_memory_mb(self) -> float:
        """Return the resident memory of the largest daemon, in megabytes."""
        sizes = [0.0]
        for process in self.daemon_by_host.values():
            if process.poll() is None:
                pages = Path(f"/proc/{process.pid}/statm").read_text().split()[1]
                sizes.append(int(pages) * PAGE_BYTES / 1e6)
        return max(sizes)

    def processor_s_by_host(self) -> dict[str, float]:
        """Return the processor seconds of each daemon process, by host."""
        used_s_by_host = {}
        for name, process in self.daemon_by_host.items():
            fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1]
            user, system = fields.split()[11:13]
            used_s_by_host[name] = (int(user) + int(system)) / TICKS_PER_S
        return used_s_by_host

    def read_ledgers(self) -> list[RunRecord]:
        """Return the ledger lines of every stand-in."""
        records = []
        for name in self.stand_in_by_name:
            path = self.deployment.folder / f"{name}.ledger"
            lines = path.read_text().splitlines() if path.exists() else []
            records += [RunRecord(**json.loads(line)) for line in lines]
        return records


def sum_metric(text: str, name: str) -> float:
    """Return the sum of a metric over its labels, from the text format.

    :param text: metrics in the text format.
    :param name: name of the metric, with labels where only one sample counts.
    """
    total = 0.0
    for line in text.splitlines():
        sample, _, value = line.rpartition(" ")
        if sample == name or sample.split("{")[0] == name:
            total += float(value)
    return total
