"""Run the project's programs among small stand-ins, for the cases 6 to 10.

The platform (its store, its settings files, its stops), backends and
requesters follow the users' pages. Only the standard library is used, and
every address is a loopback address.
"""

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

# Stands in `dst` of packets only; nothing is sent to it.
SERVICE_HOST = '127.198.18.1'
HEARTBEAT_MS = 1200
DRAIN_SECONDS = 3.0
GRACE_SECONDS = 6.0
ZONES = ('wa-south-a', 'wa-south-b', 'wa-south-c')
BOUNDS = {
    'SeedLagS': 3, 'AddrReuseS': 2, 'StableWindowMs': 4000, 'AckMs': 5000,
    'CatchUpS': 4, 'DrainMs': 3000, 'GraceS': 6, 'LossSlackMs': 200,
    'ConfigApplyMs': 3000, 'DowngradeSlackMs': 250, 'MaxStretchMs': 12000,
    'RecoveryS': 12, 'FlowSlackMs': 2000, 'FlowMaxS': 60,
}
# Where the pages of grown/ and demands/ differ.
GROWN_BOUNDS = BOUNDS | {
    'StableWindowMs': 5000, 'AckMs': 8000, 'CatchUpS': 6, 'DrainMs': 5000,
    'ConfigApplyMs': 5000, 'MaxStretchMs': 15_000, 'RecoveryS': 15,
}
# For deployments with evacuations and backends that start cold.
LATER_BOUNDS = GROWN_BOUNDS | {
    'WarmupOvershoot': 1.5, 'WarmupSlack': 5, 'EvacuateMs': 5000,
}
HEADER = struct.Struct('>IIIIH4sH4sHBB')
SYN, FIN, ACK, RST, BOUNCED = 32, 16, 8, 4, 2
SYN_COPIES = (0.2, 0.4, 0.8)
SPACE = 1 << 32
CHECKSUM = 0xA1B2C3D5


class NotRunError(Exception):
    """Report that a case could not run."""


class Record:
    """Write what was sent, answered and run to record.txt, with the time."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def add(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Packet:
    """Hold one packet of a flow."""

    def __init__(self, raw):
        (self.echo, self.sum, self.seq, self.ack, self.dport, dst, self.sport,
         src, length, self.flags, self.pad) = HEADER.unpack(raw[:HEADER.size])
        self.dst, self.src = socket.inet_ntoa(dst), socket.inet_ntoa(src)
        self.data = raw[HEADER.size:HEADER.size + length]
        self.raw = raw

    @property
    def key(self):
        return self.src, self.sport, self.dst, self.dport

    @property
    def opens(self):
        return self.flags & (SYN | ACK) == SYN


def encode(source, destination, flags, seq, ack, data=b''):
    return HEADER.pack(
        0, CHECKSUM, seq % SPACE, ack % SPACE, destination[1],
        socket.inet_aton(destination[0]), source[1],
        socket.inet_aton(source[0]), len(data), flags, 0,
    ) + data


def udp_socket(address):
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    opened.bind(address)
    return opened


def read_all(opened):
    while True:
        try:
            raw, sender = opened.recvfrom(2048)
        except OSError:
            return
        if len(raw) >= HEADER.size:
            yield raw, sender


async def read_http(reader):
    """Return method, target, headers and body of a message, None at its end."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, content = line.partition(':')
        headers[name.strip().lower()] = content.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


async def call_http(address, method, target, body=None, timeout=1.0):
    """Make one call on a channel of its own, and return its status."""
    encoded = b'' if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f'{method} {target} HTTP/1.1\r\nHost: {address[0]}\r\n'
                'Content-Type: application/json\r\nConnection: close\r\n'
                f'Content-Length: {len(encoded)}\r\n\r\n'.encode() + encoded
            )
            first, _, _ = await read_http(reader)
            return int(first.split()[1])
    except (OSError, EOFError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()


class Store:
    """Serve the platform's metadata store over HTTP.

    ``lose`` decides for each write of the system whether its answer is lost:
    it returns None, or after how many seconds the write is executed if its
    condition still holds then.
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self.revision = 100
        self.lose = lambda method, kind, name: None
        self._server = None

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)

    def put(self, kind, name, spec):
        """Write an object as the operator does; the return acknowledges it."""
        self.revision += 1
        old = self._objects.get((kind, name))
        stored = {
            'meta': {
                'Name': name, 'Revision': self.revision,
                'Created': old['meta']['Created'] if old else self.revision,
                'Finalizers': [], 'Deleting': False,
            },
            'spec': spec, 'status': None,
        }
        self._objects[kind, name] = stored
        self._add_event(kind, stored, deleted=False)
        return stored

    def remove(self, kind, name):
        """Remove an object as the operator does."""
        stored = self._objects.pop((kind, name))
        self.revision += 1
        self._add_event(kind, stored, deleted=True)

    def names(self, kind):
        return sorted(name for stored, name in self._objects if stored == kind)

    def _add_event(self, kind, stored, *, deleted):
        event = {'Object': stored, 'Deleted': deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_http(reader)
                method, target, _ = first.split(' ')
                answer = await self._answer(method, target, body)
                if answer is None:
                    # A channel on which an answer is lost returns nothing.
                    await reader.read()
                    return
                status, fields = answer
                encoded = json.dumps(fields).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query = target.partition('?')
        words = dict(
            word.partition('=')[::2] for word in filter(None, query.split('&'))
        )
        kind, _, name = path.removeprefix(
            '/bluebellfold/objects/'
        ).partition('/')
        if method == 'GET':
            if 'Watch' in words:
                return await self._watch(kind, words)
            return self._read(kind, name)
        fields = json.loads(body) if body else {}
        if method == 'POST':
            name = fields['meta']['Name']
        lost = self.lose(method, kind, name)
        if lost is None:
            status, answer = self._write(method, kind, name, fields, words)
            self._record.add(f'store: {method} {kind}/{name} -> {status}')
            return status, answer
        self._record.add(
            f'store: {method} {kind}/{name} {query}: the answer is lost, '
            f'the write waits for {lost} s'
        )
        asyncio.get_running_loop().call_later(
            lost, self._write_late, method, kind, name, fields, words
        )
        return None

    def _write_late(self, *call):
        status, _ = self._write(*call)
        self._record.add(
            f'store: {call[0]} {call[1]}/{call[2]} executed late -> {status}'
        )

    def _read(self, kind, name):
        if name:
            stored = self._objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        items = [self._objects[kind, each] for each in self.names(kind)]
        return 200, {
            'items': items, 'HasMore': False, 'StoreRevision': self.revision,
        }

    async def _watch(self, kind, words):
        after = int(words['Watch'])
        ends = time.monotonic() + int(words['WaitMs']) / 1000
        while True:
            changed = self._changed
            events = [
                event for revision, of, event in self._events
                if of == kind and revision > after
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'StoreRevision': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _write(self, method, kind, name, fields, words):
        stored = self._objects.get((kind, name))
        if method == 'POST':
            if stored:
                return 409, stored
            return 200, self.put(kind, name, fields.get('spec'))
        if not stored:
            return 404, {}
        condition = words.get('Revision') or fields.get('meta', {}).get(
            'Revision'
        )
        if condition and int(condition) != stored['meta']['Revision']:
            return 409, stored
        if method == 'PUT':
            return 200, self.put(kind, name, fields.get('spec'))
        self._objects.pop((kind, name))
        self.revision += 1
        self._add_event(kind, stored, deleted=True)
        return 200, stored


class Proxy:
    """Pass channels on, until those that are open go silent for good."""

    def __init__(self, record, target):
        self._record = record
        self._target = target
        self._open = []
        self._kept = []
        self._server = None

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)

    def silence(self):
        for channel in self._open:
            channel['silent'] = True
        self._record.add(f'{len(self._open)} open channels go silent')
        self._open.clear()

    async def _serve(self, reader, writer):
        channel = {'silent': False, 'ends': (reader, writer)}
        self._open.append(channel)
        # A silent channel stays, unless the machine closes its end.
        self._kept.append((channel, asyncio.current_task()))
        try:
            there, onward = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pass(reader, onward, channel),
            self._pass(there, writer, channel),
            return_exceptions=True,
        )
        if channel in self._open:
            self._open.remove(channel)
        onward.close()
        writer.close()

    async def _pass(self, reader, writer, channel):
        while True:
            passed = await reader.read(65536)
            if channel['silent']:
                # Nothing arrives any more, an end of the channel neither.
                if not passed:
                    return
                continue
            if not passed:
                writer.close()
                return
            writer.write(passed)


class Backend:
    """Stand in for a backend: heartbeats, flows and requests."""

    def __init__(
        self, deployment, side, *, identity, work_ms=5, slots=3, cold_ms=0
    ):
        self._deployment = deployment
        self._record = deployment.record
        self.side = side
        self.identity = identity
        self.born = round(time.time() * 1000)
        self.state = 'ready'
        self.running = True
        self._sequence = 0
        self._work = work_ms / 1000
        self._slots = asyncio.Semaphore(slots)
        self._concurrency = slots
        self._cold_until = time.monotonic() + cold_ms / 1000
        self.arrivals = {}
        # Each packet that is no SYN: when it came, and of which flow.
        self.received = []
        self._tasks = set()
        self._flows = {}
        self.ran = []
        self.sent_resets = set()
        self._socket = udp_socket(side.app)
        asyncio.get_running_loop().add_reader(self._socket, self._receive)
        self._beats = asyncio.create_task(self._beat_on())
        self._record.add(f'{self.name}: started on {side.name}')

    @property
    def name(self):
        return f'{self.identity} of {self.side.service} (born {self.born})'

    def holds(self, key):
        flow = self._flows.get(key)
        return self.running and flow is not None and flow['open']

    def opened(self, key):
        """Return when the flow opened here, None if it did not."""
        flow = self._flows.get(key)
        return None if flow is None else flow['open']

    async def beat(self):
        self._sequence += 1
        return await call_http(
            self.side.control, 'POST',
            f'/bluebellfold/Instances.Heartbeat/{self.identity}',
            {
                'Service': self.side.service,
                'Address': '{0}:{1}'.format(*self.side.app),
                'Zone': self.side.zone, 'Version': 'v1',
                'Concurrency': self._concurrency,
                'State': self.state,
                'WarmupLeftMs': max(
                    0, round(1000 * (self._cold_until - time.monotonic()))
                ),
                'Sequence': self._sequence, 'born': self.born,
            },
        )

    async def drain(self):
        """Say that the backend leaves, and return whether it is acknowledged."""
        self.state = 'draining'
        status = await self.beat()
        self._record.add(f'{self.name}: says draining -> {status}')
        return status // 100 == 2

    async def deregister(self):
        status = await call_http(
            self.side.control, 'POST',
            f'/bluebellfold/Instances.Deregister/{self.identity}',
        )
        self._record.add(f'{self.name}: deregisters -> {status}')

    def exit(self):
        if not self.running:
            return
        self.running = False
        self._beats.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._record.add(f'{self.name}: has ended')

    async def _beat_on(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def _receive(self):
        for raw, _ in read_all(self._socket):
            self._handle(Packet(raw))

    def _handle(self, packet):
        flow = self._flows.get(packet.key)
        if packet.opens:
            if flow is None:
                flow = {
                    'seq': random.randrange(SPACE), 'peer': packet.seq + 1,
                    'open': None, 'answers': {}, 'sent': 0,
                }
                self._flows[packet.key] = flow
                self.arrivals[packet.key] = self._record.now()
                self._record.add(f'{self.name}: takes SYN of {packet.key}')
            self._send(packet, SYN | ACK, flow['seq'], packet.seq + 1)
            return
        self.received.append((self._record.now(), packet.key))
        expected = None if flow is None else (flow['seq'] + 1) % SPACE
        if flow is None or (not flow['open'] and packet.ack != expected):
            self._bounce(packet)
            return
        if not flow['open']:
            flow['open'] = self._record.now()
            self._record.add(f'{self.name}: flow {packet.key} is open')
        if packet.flags & RST:
            self._flows.pop(packet.key)
            return
        if packet.flags & FIN:
            self._send(
                packet, FIN | ACK, expected + flow['sent'],
                packet.seq + len(packet.data) + 1,
            )
            return
        if packet.data:
            self._handle_request(packet, flow)

    def _handle_request(self, packet, flow):
        if packet.seq in flow['answers']:
            answer = flow['answers'][packet.seq]
            if answer is not None:
                self._send(packet, ACK, *answer)
            return
        flow['answers'][packet.seq] = None
        found = re.search(rb'Bluebellfold-Request-Id: (\S+)', packet.data)
        request = found[1].decode() if found else '?'
        self.ran.append((self._record.now(), request, packet.key))
        self._record.add(f'{self.name}: runs {request} of {packet.key}')
        self._tasks.add(
            asyncio.create_task(self._respond(packet, flow, request))
        )

    async def _respond(self, packet, flow, request):
        async with self._slots:
            await asyncio.sleep(self._work)
        if not self.running:
            return
        body = f'{self.identity} ran {request}'.encode()
        head = (
            'HTTP/1.1 200 OK\r\nBluebellfold-Backend-Signature: s-'
            f'{request}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        data = head.encode() + body
        start = (flow['seq'] + 1 + flow['sent']) % SPACE
        flow['sent'] += len(data)
        end = (packet.seq + len(packet.data)) % SPACE
        flow['answers'][packet.seq] = (start, end, data)
        self._send(packet, ACK, start, end, data)

    def _send(self, packet, flags, seq, ack, data=b''):
        raw = encode(
            (packet.dst, packet.dport), (packet.src, packet.sport),
            flags, seq, ack, data,
        )
        self._socket.sendto(raw, self.side.outbound)

    def _bounce(self, packet):
        self._record.add(f'{self.name}: gives back a packet of {packet.key}')
        head = list(HEADER.unpack(packet.raw[:HEADER.size]))
        head[9] |= BOUNCED
        head[10] = 0
        self._socket.sendto(
            HEADER.pack(*head) + packet.data, self.side.outbound
        )


class Flow:
    """One flow of a requester; the events are in the order of arrival."""

    def __init__(self, client, source, destination):
        self._client = client
        self._record = client.record
        self.source = source
        self.destination = destination
        self.key = (*source, *destination)
        self.began = None
        self.is_open = False
        self.reset_at = None
        self.reset = None
        self._seq = random.randrange(SPACE)
        self._ack = 0
        self._inbox = asyncio.Queue()

    def handle(self, packet):
        if packet.flags & RST:
            self._handle_reset(packet)
            return
        self._inbox.put_nowait(packet)

    def _handle_reset(self, packet):
        if self.is_open and (packet.seq - self._ack + 76_800) % SPACE > 153_600:
            # Outside of the window; the requester ignores it.
            return
        own = packet.sum == 0
        if self.reset_at is None:
            self.reset_at = self._record.now()
            self.reset = 'system' if own else 'backend'
            state = 'open' if self.is_open else 'not open'
            self._record.add(
                f'requester: reset of the {self.reset} on the flow '
                f'{self.key}, which is {state} here'
            )
        self._inbox.put_nowait(None)

    async def open(self):
        """Return open, reset or silent."""
        self.began = self._record.now()
        for copy, wait in enumerate(SYN_COPIES):
            self._send(SYN, self._seq, copy)
            packet = await self._next(wait)
            if self.reset_at is not None:
                return 'reset'
            if packet is not None and packet.flags & (SYN | ACK) == SYN | ACK:
                self._seq = (self._seq + 1) % SPACE
                self._ack = (packet.seq + 1) % SPACE
                self.is_open = True
                return 'open'
        return 'silent'

    async def request(self, request, budget=3.0):
        """Send one request, and return its answer, 'reset' or 'silent'."""
        data = (
            f'POST / HTTP/1.1\r\nHost: x\r\nBluebellfold-Request-Id: {request}'
            '\r\nContent-Length: 0\r\n\r\n'
        ).encode()
        self._record.add(f'requester: sends {request} on {self.key}')
        ends = time.monotonic() + budget
        wait = 0.2
        while time.monotonic() < ends:
            self._send(ACK, self._seq, self._ack, data)
            again = min(ends, time.monotonic() + wait)
            wait = min(1.6, 2 * wait)
            while time.monotonic() < again:
                packet = await self._next(again - time.monotonic())
                if self.reset_at is not None:
                    return 'reset'
                if packet is None or not packet.data:
                    continue
                if packet.seq != self._ack or request.encode() not in (
                    packet.data
                ):
                    continue
                self._ack = (packet.seq + len(packet.data)) % SPACE
                self._seq = (self._seq + len(data)) % SPACE
                self._send(ACK, self._seq, self._ack)
                self._record.add(f'requester: has the answer to {request}')
                return packet.data.decode()
        self._record.add(f'requester: no answer to {request}')
        return 'silent'

    def close(self):
        self._send(FIN | ACK, self._seq, self._ack)

    def _send(self, flags, seq, ack, data=b''):
        self._client.send(
            encode(self.source, self.destination, flags, seq, ack, data),
            self.key,
        )

    async def _next(self, seconds):
        try:
            return await asyncio.wait_for(self._inbox.get(), max(seconds, 0))
        except TimeoutError:
            return None


class Client:
    """Stand in for the requesters behind one address, and their routers.

    ``edges`` are the daemons in rotation; a hash over them picks one.
    """

    def __init__(self, deployment, host, edges):
        self.record = deployment.record
        self.edges = edges
        self._host = host
        self._flows = {}
        self._ports = itertools.count(random.randrange(20_000, 30_000))
        self._socket = udp_socket((host, deployment.port('datagrams')))
        asyncio.get_running_loop().add_reader(self._socket, self._receive)

    def flow(self, destination):
        port = next(self._ports)
        flow = Flow(self, (self._host, port), destination)
        self._flows[port] = flow
        return flow

    def send(self, raw, key):
        # Only the flows of an edge that joins or leaves move.
        edge = self.edge_of(key)
        try:
            self._socket.sendto(raw, edge.datagrams)
        except OSError:
            return

    def edge_of(self, key):
        return max(self.edges, key=lambda edge: hash((key, edge.name)))

    def _receive(self):
        for raw, _ in read_all(self._socket):
            packet = Packet(raw)
            flow = self._flows.get(packet.dport)
            if flow is not None:
                flow.handle(packet)


class Machine:
    """One machine of the system with its process."""

    def __init__(self, deployment, *, name, role, host, zone, service=''):
        self.deployment = deployment
        self.name, self.role, self.host = name, role, host
        self.zone, self.service = zone, service
        port = deployment.port
        self.datagrams = (host, port('datagrams'))
        self.control = (host, port('control'))
        self.readiness = (host, port('readiness'))
        self.outbound = (host, port('outbound'))
        self.app = (host, port('app'))
        self.process = None
        self.store_address = deployment.store_address
        self.settings = deployment.folder / f'{name}.ini'

    def fields(self):
        port = self.deployment.port
        first = port('range')
        fields = {
            'NodeName': self.name, 'Ip': self.host, 'Zone': self.zone,
            'Role': self.role, 'Region': 'wa-south',
            'PortRange': [first, first + 15],
            'Seeds': self.deployment.seeds, 'Bootstrap': True,
            'HeartbeatMs': HEARTBEAT_MS,
            'Bounds': self.deployment.bounds,
            'Zones': dict.fromkeys(ZONES, 'wa-south'),
            'Listen': {
                'DatagramAddr': join(self.datagrams),
                'ReadinessAddr': join(self.readiness),
                'Control': join(self.control),
            },
            'platform': {'Address': join(self.store_address)},
        }
        if self.role == 'agent':
            fields['Listen']['outbound'] = join(self.outbound)
            fields.update(Service=self.service, app=join(self.app))
        return fields

    def write_settings(self):
        role = self.deployment.roles[self.role]
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        # The metrics have a port of their own; it is free on each address.
        self.settings.write_text(
            render(template, self.fields()), encoding='utf-8'
        )

    async def start(self, *, wait=True):
        """Start the process as the platform does."""
        self.write_settings()
        words = self.deployment.roles[self.role]['run'].split()
        words[0] = shutil.which(words[0]) or sys.executable
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': str(self.deployment.folder),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BLUEBELLFOLD_SETTINGS': str(self.settings),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=(self.deployment.folder / f'{self.name}.log').open('ab'),
            stderr=asyncio.subprocess.STDOUT,
        )
        self.deployment.record.add(f'platform: starts {self.name}')
        if wait:
            await self.wait_started()

    async def wait_started(self, seconds=20.0):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if self.process.returncode is not None:
                raise NotRunError(f'{self.name} has ended: {self.log()[-500:]}')
            try:
                _, writer = await asyncio.open_connection(*self.readiness)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise NotRunError(f'{self.name} does not listen')

    async def is_ready(self):
        return await call_http(
            self.readiness, 'GET', '/bluebellfold/ready'
        ) == 200

    async def stop(self):
        """Send SIGTERM, and SIGKILL after GraceS."""
        self.deployment.record.add(f'platform: SIGTERM to {self.name}')
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.deployment.record.add(f'platform: {self.name} has ended')

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log(self):
        path = self.deployment.folder / f'{self.name}.log'
        return path.read_text(encoding='utf-8') if path.exists() else ''


class Deployment:
    """A small deployment on loopback addresses, and its platform."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = Path(folder)
        with (ROOT / 'deploy' / 'system.toml').open('rb') as deploy_file:
            self.roles = tomllib.load(deploy_file)['roles']
        self._net = f'127.{random.randrange(20, 250)}'
        self._base = random.randrange(10_000, 28_000)
        self.store_address = (f'{self._net}.0.1', self.port('store'))
        self.store = Store(record)
        self.edges, self.sides, self.backends = [], [], []
        self.seeds = []
        self.bounds = dict(BOUNDS)
        self.warmup_rates = {}
        self.warmup_seconds = 2.0
        self._clients = itertools.count(1)

    def port(self, name):
        offsets = {
            'datagrams': 0, 'control': 1, 'readiness': 2, 'outbound': 3,
            'app': 4, 'store': 5, 'proxy': 6, 'range': 16,
        }
        return self._base + offsets[name]

    def address(self, group, number):
        return f'{self._net}.{group}.{number}'

    async def start(self, *, edges, sides, settle=2.0, **backend):
        """Start all machines and backends; ``sides`` are their services."""
        try:
            await self.store.start(self.store_address)
        except OSError as error:
            raise NotRunError(f'no free port: {error}') from error
        for number in range(edges):
            self.edges.append(Machine(
                self, name=f'edge-{number}', role='balancer',
                host=self.address(1, number + 1),
                zone=ZONES[number % len(ZONES)],
            ))
        self.seeds = [join(edge.control) for edge in self.edges[:3]]
        for number, service in enumerate(sides):
            self.sides.append(Machine(
                self, name=f'side-{number}', role='agent',
                host=self.address(2, number + 1),
                zone=ZONES[number % len(ZONES)], service=service,
            ))
        machines = (*self.edges, *self.sides)
        for machine in machines:
            if self.proxy is not None:
                machine.store_address = self.proxy_address
        await asyncio.gather(*(machine.start() for machine in machines))
        for number, side in enumerate(self.sides):
            self.backends.append(
                Backend(self, side, identity=f'i-{number}', **backend)
            )
        ends = time.monotonic() + 15
        while not all([await edge.is_ready() for edge in self.edges]):
            if time.monotonic() > ends:
                raise NotRunError('the balancers do not become ready')
            await asyncio.sleep(0.1)
        await asyncio.sleep(settle)

    proxy = None

    @property
    def proxy_address(self):
        return (f'{self._net}.0.1', self.port('proxy'))

    async def add_proxy(self):
        """Put a proxy between the machines and the store."""
        self.proxy = Proxy(self.record, self.store_address)
        await self.proxy.start(self.proxy_address)

    def client(self, edges=None):
        return Client(
            self, self.address(64, next(self._clients)), edges or self.edges
        )

    def write_config(self, version, routes, *, timeout_ms=3000):
        """Write a desired state; ``routes`` maps ports to services."""
        spec = {
            'Version': version,
            'Routes': [
                {
                    'Name': f'r-{port}', 'Hostname': SERVICE_HOST,
                    'PathPrefix': f'/{port}/', 'Type': 'non_idempotent',
                    'TimeoutMs': timeout_ms, 'TargetLatencyMs': 225,
                    'Priority': 1, 'Service': service, 'MaxAttempts': 2,
                }
                for port, service in routes.items()
            ],
            'Services': [
                {
                    'Name': service, 'HealthPath': '/health',
                    'MaxConnections': 2000,
                    'WarmupS': self.warmup_seconds,
                    'WarmupPerS': self.warmup_rates.get(service, 0),
                }
                for service in sorted(set(routes.values()))
            ],
            'Limits': {'IdleTimeoutMs': 30_000},
        }
        self.store.put('config', 'main', spec)
        acknowledged = self.record.now()
        self.record.add(
            f'operator: version {version} is acknowledged, routes {routes}'
        )
        return acknowledged

    async def end(self):
        for backend in self.backends:
            backend.exit()
        for machine in (*self.edges, *self.sides):
            machine.send_signal(signal.SIGKILL)
            if machine.process is not None:
                await machine.process.wait()


def join(address):
    return f'{address[0]}:{address[1]}'


def render(template, fields):
    """Fill in the placeholders of a template that has no sections."""
    def find(match):
        name, _, form = match[1].partition('|')
        found = fields
        for part in name.split('.'):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if form == 'json':
            return json.dumps(found, separators=(',', ':'))
        return '' if found is None else str(found)

    return re.sub(r'\{\{([\w.|]+)\}\}', find, template)


def run(case, folder, *, limit=115.0):
    """Run a case, and exit with 1 if the rule was broken, 0 if it held."""
    record = Record(folder)
    record.add(f'TROUBLE={int(TROUBLE)}')

    async def play():
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(record, temporary)
            try:
                async with asyncio.timeout(limit):
                    return await case(deployment)
            finally:
                # Servers of stand-ins that are cancelled now are no failure.
                asyncio.get_running_loop().set_exception_handler(
                    lambda *_: None
                )
                await deployment.end()
                if os.environ.get('KEEP_LOGS'):
                    shutil.copytree(
                        temporary, os.environ['KEEP_LOGS'], dirs_exist_ok=True
                    )

    try:
        broken = asyncio.run(play())
    except Exception as error:
        lines = traceback.format_exc().strip().splitlines()[-6:]
        record.add(f'the case could not run: {error!r} {lines}')
        sys.stderr.write(f'the case could not run: {error!r}\n')
        sys.exit(NOT_RUN)
    record.add('the rule was broken' if broken else 'the rule held')
    sys.exit(BROKEN if broken else HELD)
