# flake8: noqa
"""Stand-ins for the provider's list and for replicas.

They follow PROTOCOL.md: a replica that is not named in
`Kingcuptrestle-Target-Instance` answers 421, orders check `seq` and fences,
and a change of role takes `roleSwitchS`.
"""

import asyncio
import json
import time

PREFIX = 'kingcuptrestle-'
SWITCH_S = 3.0
LAG_S = 0.8


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def own(self, name):
        return self.headers.get(PREFIX + name, '')


async def read_request(reader):
    """Return the next request of a channel, None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


def answer(status, headers, body):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Replica:
    """One replica; `stage` is None for one of a plain service."""

    def __init__(
        self, record, instance, service, address, zone, stage=None, slots=64
    ):
        self.record = record
        self.instance = instance
        self.service = service
        self.address = address
        self.zone = zone
        self.stage = stage
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        self.busy = False
        self.state = 'ready'
        # What the list shows, which lags.
        self.listed_stage = stage
        # Every order that arrived: time, holder, fence, stage, outcome.
        self.orders = []
        # Every request that ran: time, id, method, target.
        self.ran = []
        # Called with an order; returns seconds until it is carried out
        # without an answer, or None for an answer at once.
        self.late_order = lambda order: None
        # Called with a request; may answer it in another way.
        self.fault = None
        self.server = None
        self.writers = set()
        self.work_s = 0.0225
        self.running = set()
        self.software = 'v1'
        self.cached = {}

    async def start(self):
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def entry(self):
        listed = {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': self.software,
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'born': self.born,
            'id': self.instance,
        }
        if self.stage:
            listed['stage'] = self.listed_stage
            listed['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return listed

    def stop(self):
        """End, with all channels."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self._answer(request, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        path = request.target.partition('?')[0]
        named = request.own('target-instance')
        if named and named != self.instance:
            writer.write(self._declined(request, 421))
            return True
        if path == '/report':
            writer.write(
                self._json(
                    {
                        'stage': self.stage,
                        'busy': self.busy,
                        'seq': self.seq,
                        'queued': 0,
                        'running': 0,
                        'kvUsed': 0,
                        'kvTotal': 529540,
                        'kvHandles': 0,
                        'born': self.born,
                        'state': self.state,
                        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                        'runs': [],
                    }
                )
            )
            return True
        if path == '/kv-list':
            writer.write(
                self._json({'epoch': self.born, 'next': 0, 'held': []})
            )
            return True
        if path == '/kv-events':
            await asyncio.sleep(int(request.headers.get('wait-ms', 0)) / 1000)
            writer.write(
                self._json(
                    {'epoch': self.born, 'next': 0, 'lost': False, 'events': []}
                )
            )
            return True
        if path == '/health':
            writer.write(
                answer(200, {'Kingcuptrestle-Instance-Id': self.instance}, b'')
            )
            return True
        if path == '/order':
            return await self._take_order(request, writer)
        if self.fault:
            handled = await self.fault(self, request, reader, writer)
            if handled is not None:
                return handled
        return await self._run(request, writer)

    async def _run(self, request, writer):
        self.note_run(request)
        name = request.own('request-id')
        headers = {
            'Kingcuptrestle-Request-Id': name,
            'Kingcuptrestle-Server-Seal': f'{self.instance}.seal',
        }
        self.running.add(name)
        await asyncio.sleep(self.work_s)
        self.running.discard(name)
        writer.write(answer(200, headers, b'{"done":1}'))
        return True

    def note_run(self, request):
        self.ran.append(
            (
                time.monotonic(),
                request.own('request-id'),
                request.method,
                request.target,
            )
        )
        self.record.write(
            self.instance,
            'runs',
            request.own('request-id'),
            request.method,
            request.target,
        )

    def _declined(self, request, status):
        headers = {
            'Kingcuptrestle-Not-Executed': '1',
            'Kingcuptrestle-Request-Id': request.own('request-id'),
        }
        return answer(status, headers, b'')

    def _json(self, content, status=200):
        return answer(
            status,
            {'Content-Type': 'application/json'},
            json.dumps(content).encode(),
        )

    async def _take_order(self, request, writer):
        order = json.loads(request.body)
        if not order.get('holder') or 'fence' not in order:
            writer.write(self._json({}, 400))
            return True
        late_s = self.late_order(order)
        taken = {
            'at': time.monotonic(),
            'holder': order['holder'],
            'fence': order['fence'],
            'stage': order.get('stage'),
            'expected': order.get('expected'),
        }
        self.orders.append(taken)
        if late_s is None:
            status = self._begin(order)
            taken['outcome'] = status
            self._write_order(taken)
            writer.write(self._json({}, status))
            return True
        taken['outcome'] = f'no answer, due in {late_s} s'
        self._write_order(taken)
        asyncio.get_running_loop().call_later(late_s, self._late, order)
        # The caller gets no answer on this channel.
        await asyncio.sleep(60)
        return False

    def _late(self, order):
        self.record.write(
            self.instance,
            'carries out the late order of',
            order['holder'],
            'fence',
            order['fence'],
            '->',
            self._begin(order),
        )

    def _write_order(self, taken):
        self.record.write(
            self.instance,
            'order',
            'holder',
            taken['holder'],
            'fence',
            taken['fence'],
            'stage',
            taken['stage'],
            'expected',
            taken['expected'],
            '->',
            taken['outcome'],
        )

    def _begin(self, order):
        """Judge an order and begin it; return the status."""
        if order['fence'] < self.fence:
            return 412
        self.fence = order['fence']
        if self.busy or order.get('expected', self.seq) != self.seq:
            return 409
        if order.get('op') != 'stage' or order.get('stage') not in (
            'prefill',
            'decode',
        ):
            return 400
        if order['stage'] == self.stage:
            return 200
        self.seq += 1
        self.busy = True
        asyncio.get_running_loop().call_later(
            SWITCH_S, self._switch, order['stage']
        )
        return 202

    def _switch(self, stage):
        self.busy = False
        self.stage = stage
        self.record.write(self.instance, 'is', stage, 'now')
        asyncio.get_running_loop().call_later(LAG_S, self._show, stage)

    def _show(self, stage):
        self.listed_stage = stage


class Provider:
    """The provider's list of replicas."""

    def __init__(self, address):
        self.address = address
        self.replicas = []
        self.server = None

    async def start(self):
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        try:
            while await read_request(reader):
                listed = [replica.entry() for replica in self.replicas]
                body = json.dumps({'instances': listed, 'next': None}).encode()
                writer.write(
                    answer(200, {'Content-Type': 'application/json'}, body)
                )
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
