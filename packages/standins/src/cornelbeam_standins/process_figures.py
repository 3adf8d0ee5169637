"""Figures that the operating system keeps about a process, see proc(5)."""

import os
import re
import shutil
import subprocess
from collections.abc import Collection
from pathlib import Path
from typing import Final

# Process, own address and the address of the peer.
Socket = tuple[int, str, str]

_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
# Fields of the process table counted after the name in parentheses.
_USER_TICKS_FIELD: Final = 11
_SYSTEM_TICKS_FIELD: Final = 12
_SOCKET_PID: Final = re.compile(r'pid=(\d+)')
_SOCKET_SENT: Final = re.compile(r'bytes_sent:(\d+)')


def read_cpu_s(pid: int) -> float:
    """Give the user and system time of a process in seconds."""
    line = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = line.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_S


def read_rss_kb(pid: int) -> int:
    """Give the resident memory of a process in KiB."""
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0


def read_wire_sent(
    pids: Collection[int],
    ports: Collection[str],
) -> dict[Socket, int]:
    """Give the payload bytes that open TCP sockets of processes have sent.

    Only sockets with one end at one of the ports are given. Empty where the
    program ``ss`` is missing. What a socket sent is lost once it is closed,
    so sums are a lower bound when connections come and go.
    """
    program = shutil.which('ss')
    if program is None:
        return {}
    listed = subprocess.run(  # noqa: S603 fixed arguments
        [program, '-tinpOH'],
        capture_output=True,
        text=True,
        check=True,
    )
    found: dict[Socket, int] = {}
    for line in listed.stdout.splitlines():
        owner = _SOCKET_PID.search(line)
        size = _SOCKET_SENT.search(line)
        if owner is None or size is None or int(owner[1]) not in pids:
            continue
        here, there = line.split()[3:5]
        if {here.rpartition(':')[2], there.rpartition(':')[2]} & set(ports):
            found[int(owner[1]), here, there] = int(size[1])
    return found
