"""A TCP proxy on loopback that can refuse: it then ends open connections and closes new ones at once."""

from __future__ import annotations

import contextlib
import socket
import threading


class Proxy:
    """Passes connections on to one port."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._open: list[socket.socket] = []
        self._refuses = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def refuse(self, refuses: bool) -> None:
        """Begin or end to refuse."""
        if refuses:
            # Nothing listens any more, so that a connection is refused.
            self._refuses = True
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            for connection in self._open:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)
            self._open.clear()
        elif self._refuses:
            self._refuses = False
            self._listener = socket.create_server(("127.0.0.1", self.port))
            threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        listener = self._listener
        while True:
            try:
                client, _ = listener.accept()
                server = socket.create_connection(("127.0.0.1", self._target), 2.0)
            except ConnectionRefusedError:
                client.close()
                continue
            except OSError:
                return
            server.settimeout(None)
            self._open += [client, server]
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._pass_on, args=(source, sink), daemon=True).start()

    @staticmethod
    def _pass_on(source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data)
        for connection in (source, sink):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
