"""Socket options that end connections which have gone silent."""

import socket
from typing import Final

# A connection may go silent for good while a watch waits on it. The kernel's
# probes end it two seconds after its last packet, without a call to the store.
KEEP_ALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
)
