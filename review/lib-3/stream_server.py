# flake8: noqa
"""A server of a plain service that answers with streams, as a process of its own.

Each answer has neither a length nor chunks and ends with its channel (the news pages).
An event is written as its tokens come, in two parts. Killed by its starter to crash.
"""

import asyncio
import json
import os
import sys

from rig import P, SEAL, head, read_request

EVENTS = 6


async def main():
    name = sys.argv[1]

    async def serve(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                own = {P + 'Request-Id': request.get('Request-Id')}
                target = request.get('Target-Instance')
                if target and target != name:
                    writer.write(
                        head(
                            421,
                            {
                                **own,
                                P + 'Not-Executed': '1',
                                'Content-Length': '0',
                            },
                        )
                    )
                    continue
                sys.stdout.write(
                    json.dumps({'ran': request.get('Request-Id')}) + '\n'
                )
                sys.stdout.flush()
                writer.write(
                    head(
                        200,
                        {
                            **own,
                            P + 'Server-Seal': SEAL,
                            'Content-Type': 'text/event-stream',
                            'Connection': 'close',
                        },
                    )
                )
                for number in range(1, EVENTS + 1):
                    await asyncio.sleep(0.03)
                    writer.write(f'id: {number}\ndata: the grade '.encode())
                    await writer.drain()
                    await asyncio.sleep(0.03)
                    writer.write(f'of lot {number}\n\n'.encode())
                    await writer.drain()
                break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # The starter holds the other end of the standard input, so this ends with it.
    loop = asyncio.get_running_loop()
    loop.add_reader(
        sys.stdin.fileno(), lambda: sys.stdin.buffer.read1(1) or os._exit(0)
    )
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    sys.stdout.write(
        json.dumps({'port': server.sockets[0].getsockname()[1]}) + '\n'
    )
    sys.stdout.flush()
    await server.serve_forever()


asyncio.run(main())
