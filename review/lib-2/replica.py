# flake8: noqa
"""A back end: IP:PORT INSTANCE WORK_SECONDS LOG_FILE [STAGE].

It writes the ids of the requests that it runs to the log file.

A plain service without a stage, else an engine. Told `trailers` or `chunks` on
standard input, it is in trouble: the body of its next answer has no end. It is
a chunked one, of chunks of one byte, or with trailer lines behind the last
chunk. The back end writes until the caller closes. `for-good trailers` and
`for-good chunks` are the same for all further answers. Told `comments`, an
engine goes on after the first event of its next stream with comment lines
without end.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from harness import PREFIX, read_message, whole  # noqa: E402

# Below the 1,000 Mbit/s of a machine's link.
BYTES_PER_S = 100_000_000
COMMENT_BYTES_PER_S = 2_000_000
EVENTS = 6
EVENT_S = 0.02
ENDLESS = {
    'trailers': (
        b'b\r\n{"lots":12}\r\n0\r\n',
        b'X-Kingcup: 0123456789abcdef\r\n' * 2048,
    ),
    'chunks': (b'', b'1\r\n \r\n' * 10_000),
}
state = {'trouble': '', 'for-good': False}


async def serve(reader, writer, instance, work, stage, log):
    try:
        while request := await read_message(reader):
            headers = {PREFIX + 'Request-Id': request.get('Request-Id')}
            target = request.get('Target-Instance')
            if target and target != instance:
                headers[PREFIX + 'Not-Executed'] = '1'
                writer.write(whole(421, headers))
                continue
            headers[PREFIX + 'Server-Seal'] = 'seal.' + request.get(
                'Request-Id'
            )
            page = own_page(request, stage)
            if page is None:
                log.write(request.get('Request-Id') + '\n')
                await asyncio.sleep(work)
            if stage and page is None:
                await serve_engine(writer, request, headers, stage)
                continue
            trouble = state['trouble']
            if trouble in ENDLESS:
                if not state['for-good']:
                    state['trouble'] = ''
                print(f'endless answer to {request.first}', flush=True)
                await write_endless(writer, headers, trouble)
                return
            writer.write(whole(200, headers, page or b'{"lots":12}'))
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def serve_engine(writer, request, headers, stage):
    """Read a prompt, or run a request as a stream of events."""
    if request.first.startswith('DELETE'):
        writer.write(whole(200, {}, b'{}'))
        return
    if request.get('Serving-Stage') == 'prefill':
        handle = json.dumps(
            {'kvHandle': request.get('Request-Id'), 'tokens': 1, 'version': 1}
        )
        writer.write(whole(200, headers, handle.encode()))
        return
    if stage == 'prefill':
        headers[PREFIX + 'Not-Executed'] = '1'
        writer.write(whole(421, headers))
        return
    lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
    lines += ['Content-Type: text/event-stream']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode())
    first = int(request.headers.get('last-event-id') or -1) + 1
    for number in range(first, EVENTS):
        await asyncio.sleep(EVENT_S)
        write_chunk(writer, f'id: {number}\ndata: token\n\n'.encode())
        await writer.drain()
        if state['trouble'] == 'comments':
            state['trouble'] = ''
            print(f'endless answer to {request.first}', flush=True)
            while True:
                write_chunk(writer, b':\n\n' * 10_000)
                await writer.drain()
                await asyncio.sleep(30_000 / COMMENT_BYTES_PER_S)
    writer.write(b'0\r\n\r\n')
    await writer.drain()


def write_chunk(writer, content):
    writer.write(f'{len(content):x}\r\n'.encode() + content + b'\r\n')


def own_page(request, stage):
    """Return what an engine says of itself, None for another request."""
    if not stage:
        return None
    path = request.target.partition('?')[0]
    pages = {
        '/report': {
            'stage': stage,
            'models': [],
            'busy': False,
            'seq': 0,
            'queued': 0,
            'running': 0,
            'kvUsed': 0,
            'kvTotal': 90000,
            'kvHandles': 0,
        },
        '/kv-list': {'epoch': 'e1', 'next': 1, 'held': []},
        '/kv-events': {'epoch': 'e1', 'next': 1, 'lost': False, 'events': []},
    }
    page = pages.get(path)
    return None if page is None else json.dumps(page).encode()


async def write_endless(writer, headers, trouble):
    first, piece = ENDLESS[trouble]
    lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    writer.write('\r\n'.join([*lines, '', '']).encode() + first)
    began = time.monotonic()
    sent = 0
    while True:
        writer.write(piece)
        await writer.drain()
        sent += len(piece)
        ahead = sent / BYTES_PER_S - (time.monotonic() - began)
        await asyncio.sleep(max(0, ahead))


async def main():
    listen, instance, work, log_file, *stage = sys.argv[1:]
    log = open(log_file, 'w', buffering=1)
    ip, _, port = listen.partition(':')
    server = await asyncio.start_server(
        lambda reader, writer: serve(
            reader, writer, instance, float(work), ''.join(stage), log
        ),
        ip,
        int(port),
    )
    print(f'{ip}:{server.sockets[0].getsockname()[1]}', flush=True)
    loop = asyncio.get_running_loop()

    def told():
        line = sys.stdin.readline()
        if not line:
            loop.stop()
            return
        *for_good, state['trouble'] = line.split()
        state['for-good'] = bool(for_good)

    loop.add_reader(sys.stdin, told)
    await server.serve_forever()


try:
    asyncio.run(main())
except RuntimeError:
    # The case has ended.
    pass
