"""Links between cells, which can be cut in one direction or in both."""

from __future__ import annotations

import asyncio

from poppyhold.scale.controllers import Link

_PIECE = 64 * 1024


class CuttableLink(Link):
    """What the controllers of one cell send to a controller of another goes through here.

    A cut holds what is sent; when it is over, connections that it held up end, as they do behind a real one.
    """

    def __init__(self, target: int) -> None:
        super().__init__(target)
        # Whether what is asked, and what is answered, passes.
        self.asking = asyncio.Event()
        self.answering = asyncio.Event()
        self.asking.set()
        self.answering.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pass(reader, back, self.asking), self._pass(there, writer, self.answering))

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: asyncio.Event
    ) -> None:
        try:
            while data := await reader.read(_PIECE):
                if not way.is_set():
                    await way.wait()
                    return
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()


def cut(links: dict[tuple[int, int], list[CuttableLink]], source: int, target: int, passes: bool) -> None:
    """Cut or heal what one cell sends to another: its questions, and its answers to the other's."""
    for link in links[source, target]:
        (link.asking.set if passes else link.asking.clear)()
    for link in links[target, source]:
        (link.answering.set if passes else link.answering.clear)()
