"""Measure what a process holds, from outside."""

from __future__ import annotations

import os
import threading
from pathlib import Path

import msgspec

MIB = 1024 * 1024
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SAMPLE_INTERVAL = 0.05  # seconds
LISTENING = "0A"


class Peak(msgspec.Struct, kw_only=True):
    """Peaks of a process: memory and unread bytes in MiB, and open descriptors.

    `total` is the peak of the sum of both, at one moment.
    """

    resident: float = 0.0
    unread: float = 0.0
    total: float = 0.0
    descriptors: int = 0


class Sampler:
    """Sample a process in a thread until it is stopped.

    `addresses` are those that only this process listens on, `remote_ports` those that
    only this process connects to. What the kernel holds for their connections counts,
    also before they are accepted.
    """

    def __init__(
        self, *, pid: int, addresses: list[tuple[str, int]], remote_ports: list[int]
    ) -> None:
        self.peak = Peak()
        self._folder = Path(f"/proc/{pid}")
        self._locals = {_encode(address) for address in addresses}
        self._remotes = {f"{port:04X}" for port in remote_ports}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> Peak:
        """End the thread and return the peaks."""
        self._stopped.set()
        self._thread.join()
        return self.peak

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL):
            try:
                self._sample()
            except (FileNotFoundError, ProcessLookupError):
                return

    def _sample(self) -> None:
        pages = int((self._folder / "statm").read_text().split()[1])
        resident = pages * PAGE_BYTES / MIB
        unread = self._unread_bytes() / MIB
        descriptors = len(os.listdir(self._folder / "fd"))
        peak = self.peak
        peak.resident = max(peak.resident, resident)
        peak.unread = max(peak.unread, unread)
        peak.total = max(peak.total, resident + unread)
        peak.descriptors = max(peak.descriptors, descriptors)

    def _unread_bytes(self) -> int:
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
        total = 0
        for line in lines:
            _, local, remote, state, queues, *_ = line.split()
            ours = local in self._locals or remote[-4:] in self._remotes
            if ours and state != LISTENING:
                total += int(queues.partition(":")[2], 16)
        return total


def _encode(address: tuple[str, int]) -> str:
    """Return an address as /proc/net/tcp has it."""
    host, port = address
    numbers = bytes(map(int, host.split(".")))
    return f"{int.from_bytes(numbers, 'little'):08X}:{port:04X}"
