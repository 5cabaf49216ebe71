# flake8: noqa
"""A route that a later manifest adds leads to streams of a service without engines: none is served."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))
from rig import *  # noqa: E402,F403

EVENTS = 13
# Within `targetGapMs`, so each event is on time.
GAP_S = 0.2
AIM_MS, PAUSE_MS, DEADLINE_MS = 600, 250, 5000
# "Requesters abandon a stream, also before its first event, after a gap of two seconds, four
# times the objective or eight times that pause, whichever is longest."
ABANDON_S = max(2.0, 4 * AIM_MS / 1000, 8 * PAUSE_MS / 1000)
REQUESTS = 40


class Streams(Server):
    """A server of a plain service that answers with a stream in chunks."""

    async def run(self, request, writer):
        self.ran.append((time.monotonic(), request))
        writer.write(
            head(
                200,
                {
                    P + 'Request-Id': request.get('Request-Id'),
                    P + 'Server-Seal': SEAL,
                    'Content-Type': 'text/event-stream',
                    'Transfer-Encoding': 'chunked',
                },
            )
        )
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(GAP_S)
            event = f'id: {number}\ndata: {self.name}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Slow(Engine):
    events, gap_s = EVENTS, GAP_S


async def ask(d, path, request_id):
    """Make a request as requesters do; return the whole events, and whether the stream ended."""
    channel = Channel(d.front('front-1'))
    await channel.open()
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: shop.example',
        f'{P}Request-Id: {request_id}',
        f'{P}Deadline-Ms: {DEADLINE_MS}',
        'Content-Length: 3',
        *(f'{name}: {text}' for name, text in prompt().items()),
    ]
    channel.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\nabc')
    got = b''
    try:
        while (
            not got.endswith(b'0\r\n\r\n') and b'\r\nContent-Length' not in got
        ):
            more = await asyncio.wait_for(channel.reader.read(65536), ABANDON_S)
            if not more:
                break
            got += more
    except (asyncio.TimeoutError, OSError):
        pass
    finally:
        channel.close()
    status = got[9:12].decode()
    events = got.count(b'data: ')
    return status or 'none', events, events == EVENTS


async def case(d, rec):
    await d.start_platform()
    for n in range(4):
        await d.add(Streams(d, f'i-small{n}', 'small', 'z-a'))
    for n in range(6):
        await d.add(Slow(d, f'i-read{n}', 'z-a', 'prefill'))
    for n in range(3):
        await d.add(Slow(d, f'i-write{n}', 'z-a', 'decode'))
    for n in range(1, 6):
        d.start(f'core-{n}')
    d.start('front-1')
    small = {
        'name': 'small',
        'healthPath': '/health',
        'maxConns': 100,
        'protocol': 'h1',
        'tls': False,
    }
    first = route(
        'first', 'stream', 'llm', DEADLINE_MS, AIM_MS, targetGapMs=PAUSE_MS
    )
    await d.publish(manifest(7, [first], [LLM, small]))
    await d.wait_ready('front-1')
    await asyncio.sleep(4)
    later = route(
        'later',
        'stream',
        'small' if TROUBLE else 'llm',
        DEADLINE_MS,
        AIM_MS,
        targetGapMs=PAUSE_MS,
    )
    await d.publish(manifest(8, [first, later], [LLM, small]))
    # configApplyMs and stableWindowMs, and more.
    await asyncio.sleep(6)
    served = {'first': 0, 'later': 0}

    async def one(name, number):
        status, events, is_whole = await ask(
            d, f'/{name}/2f', f'{name}{number}'
        )
        served[name] += is_whole
        rec.note(
            f'{name}{number}: status {status}, {events} events, served {is_whole}'
        )

    tasks = []
    for number in range(REQUESTS):
        for name in served:
            tasks.append(asyncio.create_task(one(name, number)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    ran = sum(
        len(server.ran) for server in d.servers if server.service == 'small'
    )
    rec.note(
        f'served of {REQUESTS} each: {served}; the servers of small ran {ran}'
    )
    if served['first'] < REQUESTS / 2:
        return 2
    return 1 if served['later'] * 4 < served['first'] else 0


run_case(HERE, case)
