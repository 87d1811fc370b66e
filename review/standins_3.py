"""Stand-ins for the platform, the backends and the requesters of a case.

They need nothing but Python, speak what PROTOCOL.md says and use loopback
addresses only. ``Site`` renders the settings from the templates that the deploy
file names, and starts the programs with the deploy file's commands.
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
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The fields of a small deployment, as DEPLOY.md shows them.
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
GRACE_S = 6.0
RESTART_DELAY_S = 1.0
IDLE_TIMEOUT_MS = 15_000
ZONES = ('wa-south-a', 'wa-south-b', 'wa-south-c')
REGION = 'wa-south'
SERVICE = 'huvo11a'
ROUTE_PORT = 443
FIRST_NET = 20
NETS = 200

HEAD = struct.Struct('>IIIIH4sH4sHBB')
SYN, FIN, ACK, RST, BOUNCED = 32, 16, 8, 4, 2
SUM = 0xA1B2C3D5
SEQUENCES = 2**32


class Record:
    """Write what happened to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, text):
        line = f'{self.now():8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
        print(line, flush=True)

    def close(self):
        self._file.close()


async def http_call(host, port, method, path, fields=None, timeout=1.0):
    """Return the status and the body of one HTTP call, (0, b'') if none."""
    body = b'' if fields is None else json.dumps(fields).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n'
        f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n'
        'Connection: close\r\n\r\n'
    ).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head + body)
            await writer.drain()
            raw = await reader.read()
    except (OSError, TimeoutError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()
    top, _, rest = raw.partition(b'\r\n\r\n')
    found = re.match(rb'HTTP/1\.1 (\d{3})', top)
    return (int(found[1]), rest) if found else (0, b'')


class Store:
    """Hold objects by kind and name, as PROTOCOL.md says of the platform."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._servers = []
        self._is_busy = False
        self._refused = set()
        self._era = 1
        self.port = 0

    def copy(self):
        """Return what a drill brings back."""
        return self.revision, dict(self.objects), list(self._events)

    def restore(self, copied):
        """Come back from a copy: later writes and revisions are gone."""
        self.revision, self.objects, self._events = (
            copied[0],
            dict(copied[1]),
            list(copied[2]),
        )
        self._era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def set_busy(self, *, busy):
        """Refuse each call with 503, which also ends the watches."""
        self._is_busy = busy
        self._changed.set()
        self._changed = asyncio.Event()

    def refuse(self, port, *, refused):
        """Refuse the calls to one port with 503, which ends its watches."""
        (self._refused.add if refused else self._refused.discard)(port)
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self, host):
        self.port = await self.open_port(host)

    async def open_port(self, host):
        """Listen on a further port, which one machine may have to itself."""
        server = await asyncio.start_server(self._serve, host, 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def stop(self):
        for server in self._servers:
            server.close()

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old['meta']['Created'] if old else self.revision
        stored = {
            'meta': {
                'Name': name,
                'Revision': self.revision,
                'Created': created,
                'Finalizers': [],
                'Deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind, name] = stored
        self._add_event(kind, stored, deleted=False)
        return stored

    def names(self, kind):
        return sorted(name for each, name in self.objects if each == kind)

    def _add_event(self, kind, stored, *, deleted):
        event = {'Object': stored, 'Deleted': deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        port = writer.get_extra_info('sockname')[1]
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                status, fields = await self._answer(*request, port)
                body = json.dumps(fields).encode()
                writer.write(
                    b'HTTP/1.1 %d x\r\nContent-Type: application/json\r\n'
                    b'Store-Era: %d\r\nContent-Length: %d\r\n\r\n'
                    % (status, self._era, len(body))
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side hung up, or the case ends.
            return
        finally:
            writer.close()

    async def _answer(self, method, target, body, port):
        split = urlsplit(target)
        query = {key: each[0] for key, each in parse_qs(split.query).items()}
        parts = [unquote(part) for part in split.path.split('/')[3:]]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else '')
        if self._refuses(port):
            return 503, {}
        if method == 'GET' and 'Watch' in query:
            return await self._watch(kind, query, port)
        if method == 'GET' and not name:
            items = [
                self.objects[kind, each]
                for each in self.names(kind)
                if each > query.get('after', '')
            ]
            return 200, {
                'items': items[:500],
                'HasMore': len(items) > 500,
                'StoreRevision': self.revision,
            }
        fields = json.loads(body) if body else {}
        if method == 'POST':
            name = fields['meta']['Name']
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self.put(kind, name, fields.get('spec'))
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, {}
        if method == 'GET':
            return 200, stored
        wanted = query.get('Revision') or fields.get('meta', {}).get('Revision')
        if wanted is not None and int(wanted) != stored['meta']['Revision']:
            return 409, stored
        if method == 'PUT':
            if stored['spec'] == fields.get('spec'):
                return 200, stored
            return 200, self.put(kind, name, fields.get('spec'))
        self.objects.pop((kind, name))
        self.revision += 1
        self._add_event(kind, stored, deleted=True)
        return 200, stored

    def _refuses(self, port):
        return self._is_busy or port in self._refused

    async def _watch(self, kind, query, port):
        after = int(query['Watch'])
        ends = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            events = [
                event
                for revision, each, event in self._events
                if each == kind and revision > after
            ]
            left = ends - time.monotonic()
            if after > self.revision:
                # A revision that this history doesn't have.
                return 410, {}
            if self._refuses(port):
                return 503, {}
            if events or left <= 0:
                return 200, {'events': events, 'StoreRevision': self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass


async def _read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    line, _, rest = head.decode('latin-1').partition('\r\n')
    length = re.search(r'(?i)content-length:\s*(\d+)', rest)
    body = await reader.readexactly(int(length[1])) if length else b''
    method, target, _ = line.split(' ')
    return method, target, body


class Backend:
    """Answer requests on flows, and announce itself to its machine's daemon.

    A request is one packet; its response is the backend's name and the request.
    """

    def __init__(self, *, record, host, ports, name, zone, slots=2):
        self.name = name
        self.started = 0
        self.flows = {}
        self.ran = []
        self.syn_times = []
        self.state = 'ready'
        self.acked = []
        self._record = record
        self._host = host
        self._ports = ports
        self._zone = zone
        self._slots = slots
        self._sequence = 0
        self._socket = None
        self._beats = None

    def start(self):
        """Begin a new incarnation under the same id."""
        self.started = round(time.time() * 1000)
        self.flows = {}
        self.state = 'ready'
        self._sequence = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self._host, self._ports['app']))
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        self._beats = asyncio.create_task(self._keep_beating())
        self._record(f'backend {self.name} starts, born {self.started}')

    def stop(self):
        """End the incarnation, which loses its flows."""
        if self._socket is None:
            return
        self._beats.cancel()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        self._record(f'backend {self.name} has ended')

    async def beat(self):
        self._sequence += 1
        status, _ = await http_call(
            self._host,
            self._ports['control'],
            'POST',
            f'/bluebellfold/Instances.Heartbeat/{self.name}',
            {
                'Service': SERVICE,
                'Address': f'{self._host}:{self._ports["app"]}',
                'Zone': self._zone,
                'Version': 'v1',
                'Concurrency': self._slots,
                'State': self.state,
                'WarmupLeftMs': 0,
                'Sequence': self._sequence,
                'born': self.started,
            },
        )
        self.acked.append((time.monotonic(), self.state, status))
        self._record(f'backend {self.name} beat {self.state}: {status}')
        return status

    async def deregister(self):
        status, _ = await http_call(
            self._host,
            self._ports['control'],
            'POST',
            f'/bluebellfold/Instances.Deregister/{self.name}',
        )
        return status

    async def _keep_beating(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def _read(self):
        while self._socket is not None:
            try:
                raw = self._socket.recv(2048)
            except (BlockingIOError, ConnectionError):
                return
            self._handle(raw)

    def _handle(self, raw):
        head = list(HEAD.unpack(raw[:32]))
        _, _, sequence, acknowledged, dport, dst, sport, src = head[:8]
        flags, data = head[9], raw[32:]
        key = (dst, dport, src, sport)
        flow = self.flows.get(key)
        if flags & (SYN | ACK) == SYN:
            if flow is None:
                flow = {'isn': random.randrange(2**31), 'open': False}
                flow |= {'done': {}, 'sent': 0}
                self.flows[key] = flow
                self.syn_times.append((time.monotonic(), src, sport))
            if not flow['open']:
                self._send(key, SYN | ACK, flow['isn'], sequence + 1)
            return
        if flow is None or not (
            flow['open'] or acknowledged == (flow['isn'] + 1) % SEQUENCES
        ):
            head[9], head[10] = flags | BOUNCED, 0
            self._out(HEAD.pack(*head) + data)
            return
        if not flow['open']:
            flow['open'] = True
            self._record(f'flow of port {sport} is open at {self.name}')
        if flags & RST:
            self.flows.pop(key)
            return
        if flags & FIN:
            self._send(key, ACK, flow['isn'] + 2 + flow['sent'], sequence + 1)
            self.flows.pop(key)
            return
        if not data:
            return
        if sequence not in flow['done']:
            text = data.decode()
            self.ran.append(text)
            self._record(f'{self.name} runs {text!r} of port {sport}')
            reply = f'{self.name}:{text}'.encode()
            flow['done'][sequence] = (flow['isn'] + 1 + flow['sent'], reply)
            flow['sent'] += len(reply)
        start, reply = flow['done'][sequence]
        self._send(key, ACK, start, sequence + len(data), reply)
        if self.state == 'draining':
            # A backend that leaves closes each flow after its next response.
            self._send(key, FIN | ACK, start + len(reply), sequence + len(data))

    def _send(self, key, flags, sequence, acknowledged, data=b''):
        dst, dport, src, sport = key
        self._out(
            HEAD.pack(
                0,
                SUM,
                sequence % SEQUENCES,
                acknowledged % SEQUENCES,
                sport,
                src,
                dport,
                dst,
                len(data),
                flags,
                0,
            )
            + data
        )

    def _out(self, raw):
        try:
            self._socket.sendto(raw, (self._host, self._ports['outbound']))
        except OSError:
            pass


class Requesters:
    """Open flows from one address, as the platform's requesters do."""

    def __init__(self, *, record, host, port, route):
        self.record = record
        self.host = host
        # The address and port that a route stands for.
        self.route = route
        self._flows = {}
        self._ports = itertools.count(random.randrange(20_000, 40_000))
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self):
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def flow(self, route):
        """Return a flow; ``route()`` gives the entry address of a packet."""
        flow = Flow(owner=self, port=next(self._ports), route=route)
        self._flows[flow.port] = flow
        return flow

    def send(self, raw, address):
        try:
            self._socket.sendto(raw, address)
        except OSError:
            pass

    def _read(self):
        while True:
            try:
                raw = self._socket.recv(2048)
            except (BlockingIOError, ConnectionError):
                return
            head = HEAD.unpack(raw[:32])
            flow = self._flows.get(head[4])
            if flow is not None:
                flow.inbox.put_nowait((head, raw[32:]))


class Flow:
    """Send requests on one flow, one at a time."""

    def __init__(self, *, owner, port, route):
        self.port = port
        self.inbox = asyncio.Queue()
        self.is_open = False
        self.was_reset = False
        self.has_ended = False
        self._owner = owner
        self._route = route
        self._sequence = random.randrange(2**31)
        self._acknowledged = 0

    async def open(self):
        """Return whether a backend accepted the flow."""
        for attempt, wait in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, attempt)
            answer = await self._next(wait)
            if answer is None:
                continue
            head, _ = answer
            if head[9] & RST:
                self.was_reset = True
                self._owner.record(f'port {self.port}: reset while opening')
                return False
            self._acknowledged = (head[2] + 1) % SEQUENCES
            self._sequence += 1
            self.is_open = True
            return True
        self._owner.record(f'port {self.port}: no answer while opening')
        return False

    async def request(self, text, seconds=4.0):
        """Return the response, '' after the time budget, 'RESET' if reset."""
        data = text.encode()
        ends = time.monotonic() + seconds
        wait = 0.2
        self._owner.record(f'port {self.port} sends {text!r}')
        while time.monotonic() < ends:
            self._send(ACK, self._acknowledged, data)
            until = min(time.monotonic() + wait, ends)
            while time.monotonic() < until:
                answer = await self._next(until - time.monotonic())
                if answer is None:
                    break
                head, body = answer
                if head[9] & FIN:
                    continue
                if head[9] & RST and self._is_near(head[2]):
                    self.was_reset = True
                    self._owner.record(
                        f'port {self.port}: RESET on the open flow'
                    )
                    return 'RESET'
                if body.endswith(data) and head[2] == self._acknowledged:
                    self._acknowledged += len(body)
                    self._acknowledged %= SEQUENCES
                    self._sequence += len(data)
                    self._owner.record(f'port {self.port} gets {body!r}')
                    await self._answer_end()
                    return body.decode()
            wait = min(wait * 2, 1.6)
        self._owner.record(f'port {self.port}: no response to {text!r}')
        return ''

    def close(self):
        """End the flow at the requester's side."""
        self._send(FIN | ACK, self._acknowledged)
        self.has_ended = True

    async def _answer_end(self):
        """Close the flow if its backend has closed it."""
        answer = await self._next(0.02)
        if answer is not None and answer[0][9] & FIN:
            self.has_ended = True
            self._owner.record(f'port {self.port}: closed by its backend')
            self._send(FIN | ACK, (self._acknowledged + 1) % SEQUENCES)

    def _is_near(self, sequence):
        ahead = (sequence - self._acknowledged) % SEQUENCES
        return min(ahead, SEQUENCES - ahead) <= 76_800

    async def _next(self, seconds):
        try:
            async with asyncio.timeout(max(seconds, 0)):
                return await self.inbox.get()
        except TimeoutError:
            return None

    def _send(self, flags, acknowledged, data=b''):
        raw = HEAD.pack(
            0,
            SUM,
            self._sequence % SEQUENCES,
            acknowledged,
            self._owner.route[1],
            socket.inet_aton(self._owner.route[0]),
            self.port,
            socket.inet_aton(self._owner.host),
            len(data),
            flags,
            0,
        )
        self._owner.send(raw + data, self._route())


class Program:
    """Own one process of the project."""

    def __init__(self, *, name, host, process):
        self.name = name
        self.host = host
        self.process = process

    @property
    def exit_code(self):
        return self.process.returncode

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self, seconds=None):
        async with asyncio.timeout(seconds):
            return await self.process.wait()


class Site:
    """Run the platform, the programs and their peers on loopback."""

    def __init__(self, *, folder, net):
        self.record = Record(folder)
        self.store = Store()
        self.net = net
        self.route = (f'127.{net}.200.1', ROUTE_PORT)
        self.ports = {}
        self.programs = []
        self.backends = []
        self.requesters = None
        # The bounds that a template of the settings asks for.
        self.bounds = {}
        # Store ports of machines that have one to themselves, by host.
        self.store_ports = {}
        self._deploy = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )
        self._temporary = Path(tempfile.mkdtemp(prefix='review-'))
        self._numbers = itertools.count(1)

    def edge(self, number):
        return f'127.{self.net}.1.{number + 1}'

    def side(self, number):
        return f'127.{self.net}.2.{number + 1}'

    def zone(self, number):
        return ZONES[number % len(ZONES)]

    async def begin(self, *, version=1):
        """Start the store and write the first desired state."""
        self._choose_ports()
        await self.store.start(f'127.{self.net}.9.1')
        self.store.put('config', 'main', self.desired_state(version))
        self.requesters = Requesters(
            record=self.record,
            host=f'127.{self.net}.64.7',
            port=self.ports['datagram'],
            route=self.route,
        )

    def desired_state(self, version):
        return {
            'Version': version,
            'Routes': [
                {
                    'Name': 'r-1',
                    'Hostname': self.route[0],
                    'PathPrefix': f'/{self.route[1]}/',
                    'Type': 'idempotent',
                    'TimeoutMs': 3000,
                    'TargetLatencyMs': 225,
                    'Priority': 2,
                    'Service': SERVICE,
                    'MaxAttempts': 2,
                }
            ],
            'Services': [
                {
                    'Name': SERVICE,
                    'HealthPath': '/health',
                    'MaxConnections': 2000,
                    'Protocol': 'h1',
                    'Tls': False,
                }
            ],
            'Limits': {
                'MaxHeaderBytes': 16_384,
                'MaxBodyBytes': 262_144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': IDLE_TIMEOUT_MS,
            },
        }

    async def start_program(self, role, number):
        """Start a program as the platform does, with the deploy file's run."""
        host = self.side(number) if role == 'agent' else self.edge(number)
        described = self._deploy['roles'][role]
        text = (ROOT / described['template']).read_text(encoding='utf-8')
        path = self._temporary / f'{role}-{number}-{next(self._numbers)}.ini'
        path.write_text(
            _render(text, self._fields(role, number, host)), encoding='utf-8'
        )
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['BLUEBELLFOLD_SETTINGS'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(path.with_suffix('.log'), 'wb') as log:
            process = await asyncio.create_subprocess_exec(
                *described['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )
        program = Program(
            name=f'{role}-{number}', host=host, process=process
        )
        self.programs.append(program)
        self.record(f'{program.name} is started')
        return program

    def add_backend(self, number, *, name):
        backend = Backend(
            record=self.record,
            host=self.side(number),
            ports=self.ports,
            name=name,
            zone=self.zone(number),
        )
        backend.start()
        self.backends.append(backend)
        return backend

    async def is_ready(self, program):
        status, _ = await http_call(
            program.host, self.ports['readiness'], 'GET', '/bluebellfold/ready'
        )
        return status == 200

    async def wait_ready(self, program, seconds=20.0):
        ends = time.monotonic() + seconds
        while not await self.is_ready(program):
            if time.monotonic() > ends or program.exit_code is not None:
                raise RuntimeError(f'{program.name} is not ready')
            await asyncio.sleep(0.1)

    def through(self, number):
        """Return the routing of a flow's packets to one entry machine."""
        return lambda: (self.edge(number), self.ports['datagram'])

    async def end(self):
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGKILL)
        for program in self.programs:
            await program.process.wait()
        for backend in self.backends:
            backend.stop()
        if self.requesters is not None:
            self.requesters.close()
        self.store.stop()
        if os.environ.get('LOGS'):
            # A folder that keeps the settings and logs of the programs.
            shutil.copytree(
                self._temporary, os.environ['LOGS'], dirs_exist_ok=True
            )
        shutil.rmtree(self._temporary, ignore_errors=True)
        self.record.close()

    def program_lines(self, program, event):
        """Return how often the programs of a role logged an event."""
        return sum(
            path.read_text(encoding='utf-8', errors='replace').count(event)
            for path in self._temporary.glob(f'{program}-*.log')
        )

    def _choose_ports(self):
        # All machines have the same ports. Loopback addresses of this case
        # are used by nobody else, so that a port that is free here is free.
        host = f'127.{self.net}.1.1'
        names = ('datagram', 'outbound', 'control', 'readiness', 'app')
        held = []
        for name in (*names, 'first', 'last'):
            probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            probe.bind((host, 0))
            self.ports[name] = probe.getsockname()[1]
            held.append(probe)
        for probe in held:
            probe.close()

    def _fields(self, role, number, host):
        store_port = self.store_ports.get(host, self.store.port)
        fields = {
            'NodeName': f'{role}-{self.zone(number)}-{number + 1}',
            'Ip': host,
            'Zone': self.zone(number),
            'Zones': dict.fromkeys(ZONES, REGION),
            'PortRange': [self.ports['first'], self.ports['last']],
            'Seeds': [f'{self.edge(0)}:{self.ports["control"]}'],
            'HeartbeatMs': round(HEARTBEAT_S * 1000),
            'Listen': {
                'DatagramAddr': f'{host}:{self.ports["datagram"]}',
                'ReadinessAddr': f'{host}:{self.ports["readiness"]}',
                'Control': f'{host}:{self.ports["control"]}',
                'outbound': f'{host}:{self.ports["outbound"]}',
            },
            'Bounds': self.bounds,
            'platform': {'Address': f'127.{self.net}.9.1:{store_port}'},
        }
        if role == 'agent':
            fields['app'] = f'{host}:{self.ports["app"]}'
            fields['Service'] = SERVICE
        return fields


def _render(text, fields):
    """Fill in the placeholders of a template (only those that it uses)."""

    def fill(match):
        path, _, as_json = match[1].partition('|')
        found = fields
        for part in path.split('.'):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if as_json:
            return json.dumps(found)
        return '' if found is None else str(found)

    return re.sub(r'\{\{([^}]+)\}\}', fill, text)


def run_case(folder, case, *, seconds=110):
    """Run ``case(site)``, which returns HELD or BROKEN, and exit with it."""

    # Runs at the same time have networks of their own.
    net = FIRST_NET + os.getpid() % NETS

    async def play():
        site = Site(folder=folder, net=net)
        verdict = NOT_RUN
        try:
            async with asyncio.timeout(seconds):
                verdict = await case(site)
        except Exception as error:
            site.record(f'the case could not run: {error!r}')
        finally:
            site.record(f'verdict: {verdict}')
            await site.end()
        return verdict

    sys.exit(asyncio.run(play()))
