"""Stand-ins for the users' platform, requesters and backends.

They follow PROTOCOL.md and DEPLOY.md of the users' pages, and use the standard
library only. The programs under test are started as separate processes with
the commands of ``deploy/system.toml`` and the settings templates named there.
All addresses are loopback addresses.
"""

import asyncio
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
import zlib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent

HELD, BROKEN, NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 105

# Bounds of sites/marrinup-edge.toml.
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
ADDR_REUSE_S = 2.0
GRACE_S = 6.0
HEARTBEAT_S = 1.2

HEAD = struct.Struct('>IIIIH4sH4sHBB')
SYN, FIN, ACK, RST, BOUNCED = 32, 16, 8, 4, 2
MAX_DATA = 1200
WINDOW_PACKETS = 16
RESET_RANGE = 76_800
SPACE = 1 << 32
KEY = os.urandom(16)
SYN_COPIES_S = (0.2, 0.6)
OPEN_LIMIT_S = 1.4
FIRST_RETRANSMIT_S = 0.2
LAST_RETRANSMIT_S = 1.6
BACKEND_RETRANSMITS = 8


class Record:
    """Write the events of a run to record.txt, with times."""

    def __init__(self, path):
        self._file = path.open('w', encoding='utf-8')
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._start

    def log(self, who, what, **fields):
        """Write one event."""
        text = ' '.join(f'{name}={field}' for name, field in fields.items())
        self._file.write(f'{self.now():8.3f} {who:<12} {what} {text}\n')
        self._file.flush()


class Packet:
    """Hold one decoded packet."""

    def __init__(self, raw):
        (
            self.echo,
            self.sum,
            self.seq,
            self.ack,
            self.dport,
            dst,
            self.sport,
            src,
            length,
            self.flags,
            self.pad,
        ) = HEAD.unpack(raw[: HEAD.size])
        self.raw = raw
        self.dst = socket.inet_ntoa(dst)
        self.src = socket.inet_ntoa(src)
        self.data = raw[HEAD.size :]
        if length != len(self.data):
            raise ValueError('wrong length')

    @property
    def is_genuine(self):
        """Return whether an end wrote the packet as it is."""
        return self.sum == keyed_sum(self.raw)


def keyed_sum(raw):
    """Return the sum over all fields but echo, sum, pad and BOUNCED."""
    head = list(HEAD.unpack(raw[: HEAD.size]))
    head[0] = head[1] = head[-1] = 0
    head[-2] &= ~BOUNCED
    covered = HEAD.pack(*head) + raw[HEAD.size :]
    # A system reset has the sum 0; no other packet does.
    return zlib.crc32(KEY + covered) or 1


def encode(src, dst, *, flags, seq, ack, data=b''):
    """Return a packet from one (address, port) to another, with its sum."""
    head = HEAD.pack(
        0,
        0,
        seq % SPACE,
        ack % SPACE,
        dst[1],
        socket.inet_aton(dst[0]),
        src[1],
        socket.inet_aton(src[0]),
        len(data),
        flags,
        0,
    )
    raw = head + data
    return raw[:4] + keyed_sum(raw).to_bytes(4) + raw[8:]


def distance(later, earlier):
    """Return how far a sequence number is after another, signed."""
    ahead = (later - earlier) % SPACE
    return ahead if ahead < SPACE // 2 else ahead - SPACE


class End:
    """Carry the bytes of one flow at one of its ends."""

    def __init__(self, *, own, peer, first, send, max_retransmits=None):
        self.own = own
        self.peer = peer
        self.next_seq = (first + 1) % SPACE
        self.received_to = None
        self.inbox = bytearray()
        self.peer_finished = False
        self.finished = False
        self.arrived = asyncio.Event()
        self._send = send
        self._max_retransmits = max_retransmits
        self._unacked = []
        self._waiting = []
        self._early = {}
        self._timer = None
        self._ack_timer = None
        self._retransmits = 0

    def write(self, data, *, finish=False):
        """Send bytes, and with ``finish`` the end of the flow."""
        pieces = [
            data[at : at + MAX_DATA] for at in range(0, len(data), MAX_DATA)
        ]
        pieces = pieces or [b'']
        for number, piece in enumerate(pieces):
            last = finish and number == len(pieces) - 1
            flags = ACK | (FIN if last else 0)
            self._waiting.append((self.next_seq, flags, piece))
            self.next_seq = (self.next_seq + len(piece) + last) % SPACE
        self.finished = self.finished or finish
        self._pump()

    def acknowledge(self):
        """Send an acknowledgement without data."""
        if self._ack_timer:
            self._ack_timer.cancel()
            self._ack_timer = None
        seq = self._waiting[0][0] if self._waiting else self.next_seq
        self._send(self._encode(seq, ACK, b''))

    def handle(self, packet):
        """Take in a packet of the peer."""
        if packet.flags & ACK:
            self._drop_acked(packet.ack)
        if packet.data or packet.flags & FIN:
            self._take_data(packet)
        self.arrived.set()

    def stop(self):
        """Stop the timers."""
        for timer in (self._timer, self._ack_timer):
            if timer:
                timer.cancel()
        self._unacked = []
        self._waiting = []
        self.arrived.set()

    def _encode(self, seq, flags, data):
        return encode(
            self.own,
            self.peer,
            flags=flags,
            seq=seq,
            ack=self.received_to,
            data=data,
        )

    def _pump(self):
        while self._waiting and len(self._unacked) < WINDOW_PACKETS:
            piece = self._waiting.pop(0)
            self._unacked.append(piece)
            self._send(self._encode(*piece))
        if self._unacked and self._timer is None:
            self._arm(FIRST_RETRANSMIT_S)

    def _arm(self, delay):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._retransmit, delay)

    def _retransmit(self, delay):
        self._timer = None
        if not self._unacked:
            return
        self._retransmits += 1
        limit = self._max_retransmits
        if limit is not None and self._retransmits > limit:
            self.stop()
            return
        self._send(self._encode(*self._unacked[0]))
        self._arm(min(delay * 2, LAST_RETRANSMIT_S))

    def _drop_acked(self, ack):
        before = len(self._unacked)
        self._unacked = [
            (seq, flags, data)
            for seq, flags, data in self._unacked
            if distance(seq + len(data) + bool(flags & FIN), ack) > 0
        ]
        if len(self._unacked) == before:
            return
        self._retransmits = 0
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self._pump()

    def _take_data(self, packet):
        self._early[packet.seq] = packet
        progressed = True
        while progressed:
            progressed = False
            for seq in list(self._early):
                if distance(seq, self.received_to) > 0:
                    continue
                early = self._early.pop(seq)
                end = early.seq + len(early.data) + bool(early.flags & FIN)
                fresh = distance(end, self.received_to)
                if fresh <= 0:
                    continue
                skipped = -distance(early.seq, self.received_to)
                self.inbox += early.data[skipped:]
                self.peer_finished = self.peer_finished or bool(
                    early.flags & FIN
                )
                self.received_to = end % SPACE
                progressed = True
        # Every second packet is acknowledged at once.
        if self._ack_timer or packet.flags & FIN:
            self.acknowledge()
        else:
            loop = asyncio.get_running_loop()
            self._ack_timer = loop.call_later(0.01, self.acknowledge)


class Udp:
    """Own one UDP socket."""

    def __init__(self, address, handle):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._handle = handle
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def send(self, raw, address):
        """Send a datagram; an error counts as its loss."""
        try:
            self._socket.sendto(raw, address)
        except OSError:
            pass

    def close(self):
        """Close the socket."""
        if self._socket.fileno() < 0:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self):
        for _ in range(64):
            try:
                raw, _ = self._socket.recvfrom(4096)
            except OSError:
                return
            if len(raw) >= HEAD.size:
                self._handle(Packet(raw))
            if self._socket.fileno() < 0:
                return


class HttpReply:
    """Hold the status and the body of a response."""

    def __init__(self, status, body):
        self.status = status
        self.body = body


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = dict(
        (name.strip().lower(), text.strip())
        for name, _, text in (line.partition(':') for line in lines if line)
    )
    length = int(headers.get('content-length', 0))
    return first, headers, await reader.readexactly(length)


async def call(address, method, path, body=None, *, timeout, source=None):
    """Make one HTTP call on a connection of its own, or raise OSError."""
    encoded = json.dumps(body).encode() if body is not None else b''
    local = (source, 0) if source else None
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(
            *address, local_addr=local
        )
        try:
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
                + encoded
            )
            await writer.drain()
            first, _, answer = await read_message(reader)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError from error
        finally:
            writer.close()
    return HttpReply(int(first.split()[1]), answer)


class Store:
    """Stand in for the platform's metadata store."""

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._events = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, address):
        """Listen on the address."""
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self):
        """Stop listening."""
        if self._server:
            self._server.close()

    def operate(self, kind, name, spec):
        """Write an object as the operator does."""
        self._write(kind, name, spec)

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(name for each, name in self._objects if each == kind)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(' ')
                # The store answers after 4 ms.
                await asyncio.sleep(0.004)
                status, answer = await self._answer(method, target, body)
                encoded = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {key: each[0] for key, each in parse_qs(parts.query).items()}
        names = [unquote(each) for each in parts.path.split('/')[3:]]
        if parts.path.split('/')[1:3] != ['bluebellfold', 'objects']:
            return 404, {}
        kind, name = (names + [''])[:2]
        if method == 'GET' and 'Watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and name:
            found = self._objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == 'GET':
            return self._list(kind, query)
        fields = json.loads(body) if body else {}
        self._record.log(
            'store', method, kind=kind, name=name or fields['meta']['Name']
        )
        return self._change(method, kind, name, fields, query)

    def _list(self, kind, query):
        after = query.get('after', '')
        items = [
            self._objects[kind, each]
            for each in self.names(kind)
            if each > after
        ]
        return 200, {
            'items': items,
            'HasMore': False,
            'StoreRevision': self._revision,
        }

    async def _watch(self, kind, query):
        since = int(query['Watch'])
        end = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            events = [
                event
                for at, each, event in self._events
                if at > since and each == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'StoreRevision': self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _change(self, method, kind, name, fields, query):
        if method == 'POST':
            name = fields['meta']['Name']
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 200, self._write(kind, name, fields.get('spec'))
        found = self._objects.get((kind, name))
        if found is None:
            return 404, {}
        wanted = query.get('Revision') or fields.get('meta', {}).get('Revision')
        if wanted is not None and int(wanted) != found['meta']['Revision']:
            return 409, found
        if method == 'PUT':
            return 200, self._write(kind, name, fields.get('spec'))
        self._objects.pop((kind, name))
        self._note(kind, {'Deleted': True, 'Object': found})
        return 200, found

    def _write(self, kind, name, spec):
        found = self._objects.get((kind, name))
        if found and found['spec'] == spec:
            return found
        stored = {
            'meta': {
                'Name': name,
                'Revision': self._revision + 1,
                'Created': found['meta']['Created']
                if found
                else self._revision + 1,
                'Finalizers': [],
                'Deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = stored
        self._note(kind, {'Deleted': False, 'Object': stored})
        return stored

    def _note(self, kind, event):
        self._revision += 1
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()


class BackendFlow:
    """Hold one flow at a backend."""

    def __init__(self, end, opened_by, first):
        self.end = end
        self.opened_by = opened_by
        self.first = first
        self.is_open = False
        self.arrived_at = None
        self.busy = False


class Backend:
    """Stand in for one start of a backend."""

    def __init__(self, world, machine, name, *, born_ms=None, work_s=0.02):
        self.world = world
        self.machine = machine
        self.name = name
        self.work_s = work_s
        self.born_ms = round(time.time() * 1000) if born_ms is None else born_ms
        self.flows = {}
        self.runs = []
        self.opened = []
        self.resets_sent = 0
        self.forged = 0
        self.lose_next_syn = False
        self.lost_syn_at = None
        self.state = 'ready'
        self.drain_acked_at = None
        self.last_beat_at = None
        self.is_alive = True
        self._sequence = 0
        self._ended = set()
        self._slots = asyncio.Semaphore(3)
        self._tasks = set()
        self._udp = Udp(machine.app, self._handle)
        self._spawn(self._beat())
        self.log('starts', service=machine.service, born=self.born_ms)

    def log(self, what, **fields):
        """Write an event of this backend."""
        self.world.record.log(self.name, what, **fields)

    def crash(self):
        """End without a word."""
        self.is_alive = False
        self.log('crashes')
        self._end()

    def exit(self):
        """End after a planned shutdown."""
        self.is_alive = False
        self.log('exits')
        self._end()

    def heartbeat_body(self):
        """Return what the next heartbeat says."""
        self._sequence += 1
        return {
            'Service': self.machine.service,
            'Address': '{}:{}'.format(*self.machine.app),
            'Zone': self.machine.zone,
            'Version': 'v1',
            'Concurrency': 3,
            'State': self.state,
            'WarmupLeftMs': 0,
            'Sequence': self._sequence,
            'born': self.born_ms,
        }

    async def beat_once(self):
        """Send a heartbeat, and return whether it was acknowledged."""
        body = self.heartbeat_body()
        path = f'/bluebellfold/Instances.Heartbeat/{self.name}'
        try:
            reply = await call(
                self.machine.control, 'POST', path, body, timeout=1.0
            )
        except OSError:
            status = 0
        else:
            status = reply.status
        acked = 200 <= status < 300
        self.log(
            'heartbeat',
            state=body['State'],
            sequence=body['Sequence'],
            answer=status or 'none',
        )
        if acked:
            self.last_beat_at = self.world.record.now()
        if (
            acked
            and body['State'] == 'draining'
            and self.drain_acked_at is None
        ):
            self.drain_acked_at = self.world.record.now()
        return acked

    async def drain(self):
        """Report that this backend leaves, until that is acknowledged."""
        self.state = 'draining'
        while not await self.beat_once():
            await asyncio.sleep(0.2)

    async def deregister(self):
        """Say that this backend is gone."""
        path = f'/bluebellfold/Instances.Deregister/{self.name}'
        reply = await call(self.machine.control, 'POST', path, timeout=1.0)
        self.log('deregisters', answer=reply.status)

    def holds(self, key):
        """Return whether a flow is open here."""
        flow = self.flows.get(key)
        return self.is_alive and flow is not None and flow.is_open

    def _end(self):
        for task in self._tasks:
            task.cancel()
        for flow in self.flows.values():
            flow.end.stop()
        self.flows.clear()
        self._udp.close()

    def _spawn(self, running):
        task = asyncio.create_task(running)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self):
        while True:
            if self.state == 'ready' or self.drain_acked_at is not None:
                await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    def _send(self, raw):
        self._udp.send(raw, self.machine.outbound)

    def _handle(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if not packet.is_genuine:
            self.forged += 1
            self.log('forged packet', flow=f'{packet.src}:{packet.sport}')
            return
        if packet.flags & SYN:
            self._handle_syn(packet, key)
            return
        flow = self.flows.get(key)
        if flow is not None and not flow.is_open:
            if distance(packet.ack, flow.first + 1) != 0:
                flow = None
            elif not packet.flags & RST:
                self._open(flow, packet, key)
        if flow is not None and packet.flags & RST:
            self._forget(key)
            return
        if flow is None:
            self._answer_unknown(packet, key)
            return
        flow.end.handle(packet)
        self._serve_next(flow, key)

    def _handle_syn(self, packet, key):
        if self.lose_next_syn:
            # Stands for the loss of the datagram on its way to the backend.
            self.lose_next_syn = False
            self.lost_syn_at = self.world.record.now()
            self.log('opening packet lost', flow=f'{packet.src}:{packet.sport}')
            return
        flow = self.flows.get(key)
        if flow is None or distance(flow.opened_by, packet.seq) != 0:
            first = random.randrange(SPACE)
            end = End(
                own=(packet.dst, packet.dport),
                peer=(packet.src, packet.sport),
                first=first,
                send=self._send,
                max_retransmits=BACKEND_RETRANSMITS,
            )
            end.received_to = (packet.seq + 1) % SPACE
            flow = BackendFlow(end, packet.seq, first)
            flow.arrived_at = self.world.record.now()
            self.flows[key] = flow
            self.log(
                'takes opening packet', flow=f'{packet.src}:{packet.sport}'
            )
        self._send(
            encode(
                flow.end.own,
                flow.end.peer,
                flags=SYN | ACK,
                seq=flow.first,
                ack=packet.seq + 1,
            )
        )

    def _open(self, flow, packet, key):
        flow.is_open = True
        self.opened.append((flow.arrived_at, key))
        self.log('flow opens', flow=f'{packet.src}:{packet.sport}')

    def _answer_unknown(self, packet, key):
        if key in self._ended:
            if packet.flags & FIN:
                self._reply_ended(packet, ACK)
                return
            if packet.data:
                self._reply_ended(packet, RST)
                return
        head = list(HEAD.unpack(packet.raw[: HEAD.size]))
        head[-2] |= BOUNCED
        head[-1] = 0
        self._send(HEAD.pack(*head) + packet.data)

    def _reply_ended(self, packet, flags):
        end = packet.seq + len(packet.data) + bool(packet.flags & FIN)
        self._send(
            encode(
                (packet.dst, packet.dport),
                (packet.src, packet.sport),
                flags=flags,
                seq=packet.ack,
                ack=end,
            )
        )

    def _forget(self, key):
        flow = self.flows.pop(key)
        flow.end.stop()
        self._ended.add(key)

    def _serve_next(self, flow, key):
        end = flow.end
        if flow.busy:
            return
        request = take_http(end.inbox)
        if request is not None:
            flow.busy = True
            self._spawn(self._run(flow, key, *request))
            return
        if end.peer_finished and not end.finished:
            end.write(b'', finish=True)
        if end.peer_finished and end.finished:
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, self._close_ended, key, flow)

    def _close_ended(self, key, flow):
        if self.flows.get(key) is flow:
            self._forget(key)

    async def _run(self, flow, key, first, headers, body):
        async with self._slots:
            request_id = headers.get('bluebellfold-request-id', '')
            self.runs.append((self.world.record.now(), request_id, first, body))
            self.log('runs', request=request_id, flow=f'{key[0]}:{key[1]}')
            await asyncio.sleep(self.work_s)
        answer = f'{self.name} {request_id}'.encode()
        closing = self.state == 'draining'
        flow.end.write(
            b'HTTP/1.1 200 OK\r\n'
            + f'Content-Length: {len(answer)}\r\n'.encode()
            + b'Bluebellfold-Backend-Signature: s\r\n\r\n'
            + answer,
            finish=closing,
        )
        flow.busy = False
        self._serve_next(flow, key)


def take_http(buffer):
    """Remove one whole HTTP message from a buffer, None if there is none."""
    head_end = buffer.find(b'\r\n\r\n')
    if head_end < 0:
        return None
    first, *lines = bytes(buffer[:head_end]).decode('latin-1').split('\r\n')
    headers = {
        name.strip().lower(): text.strip()
        for name, _, text in (line.partition(':') for line in lines)
    }
    body_start = head_end + 4
    body_end = body_start + int(headers.get('content-length', 0))
    if len(buffer) < body_end:
        return None
    body = bytes(buffer[body_start:body_end])
    del buffer[:body_end]
    return first, headers, body


class Requester:
    """Stand in for requesters at one address."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.forged = 0
        self._flows = {}
        self._ports = iter(range(random.randrange(1024, 40_000), 60_000))
        self._udp = Udp((host, world.ports['datagram']), self._handle)

    def flow(self, route):
        """Return a new flow to a route's (address, port)."""
        flow = RequesterFlow(self, (self.host, next(self._ports)), route)
        self._flows[flow.own[1]] = flow
        return flow

    def send(self, raw, own, route):
        """Hand a packet to the platform's routers."""
        balancer = self.world.router.pick(own, route)
        if balancer is not None:
            self._udp.send(raw, balancer)

    def close(self):
        """Close the socket."""
        for flow in self._flows.values():
            flow.stop()
        self._udp.close()

    def _handle(self, packet):
        flow = self._flows.get(packet.dport)
        is_reset = bool(packet.flags & RST) and packet.sum == 0
        if not is_reset and not packet.is_genuine:
            self.forged += 1
            self.world.record.log('requester', 'forged packet')
            return
        if flow is not None:
            flow.handle(packet)


class RequesterFlow:
    """Hold one flow of a requester."""

    def __init__(self, requester, own, route):
        self._requester = requester
        self._record = requester.world.record
        self.own = own
        self.route = route
        self.key = (*own, *route)
        self.state = 'new'
        self.reset_by = None
        self.reset_at = None
        self.opened_sent_at = None
        self.last_packet_at = None
        self._first = random.randrange(SPACE)
        self._answered = asyncio.Event()
        self.end = End(own=own, peer=route, first=self._first, send=self._send)

    @property
    def label(self):
        """Return the requester's end, as the record names it."""
        return f'{self.own[0]}:{self.own[1]}'

    async def open(self):
        """Open the flow, and return whether it is open."""
        self.state = 'opening'
        self.opened_sent_at = self._record.now()
        self._record.log(
            'requester', 'opens', flow=self.label, route=self.route[1]
        )
        marks = (0, *SYN_COPIES_S, OPEN_LIMIT_S)
        for copy in range(len(marks) - 1):
            self._send(
                encode(
                    self.own, self.route, flags=SYN, seq=self._first, ack=copy
                )
            )
            if await self._wait_answered(marks[copy + 1] - marks[copy]):
                break
        if self.state == 'opening':
            self.state = 'failed'
        if self.state != 'open':
            self._record.log(
                'requester', 'not open', flow=self.label, state=self.state
            )
        return self.state == 'open'

    async def request(
        self, request_id, *, method='GET', body=b'', budget_s=3.0
    ):
        """Send a request, and return the answer's body or None."""
        head = (
            f'{method} /x HTTP/1.1\r\nHost: h\r\n'
            f'Bluebellfold-Request-Id: {request_id}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        self._record.log(
            'requester', 'sends', request=request_id, flow=self.label
        )
        self.end.write(head + body)
        end_at = time.monotonic() + budget_s
        while self.state == 'open':
            answer = take_http(self.end.inbox)
            if answer is not None:
                self._record.log(
                    'requester',
                    'answered',
                    request=request_id,
                    status=answer[0].split()[1],
                    by=answer[2].split()[0].decode(),
                )
                return answer[2]
            self.end.arrived.clear()
            try:
                async with asyncio.timeout(end_at - time.monotonic()):
                    await self.end.arrived.wait()
            except TimeoutError:
                break
        self._record.log(
            'requester', 'no answer', request=request_id, state=self.state
        )
        return None

    def finish(self):
        """Send the end of the flow."""
        if self.state == 'open' and not self.end.finished:
            self.end.write(b'', finish=True)

    def stop(self):
        """Stop the timers."""
        self.end.stop()

    def handle(self, packet):
        """Take in a packet to this flow."""
        if packet.flags & RST:
            self._handle_reset(packet)
            return
        if packet.flags & SYN:
            if self.state == 'opening':
                self.end.received_to = (packet.seq + 1) % SPACE
                self.state = 'open'
                self._answered.set()
                self.end.acknowledge()
            return
        if self.state == 'open':
            self.end.handle(packet)

    def _handle_reset(self, packet):
        if self.state not in {'opening', 'open'}:
            return
        if self.state == 'open':
            if abs(distance(packet.seq, self.end.received_to)) > RESET_RANGE:
                return
        self.reset_by = 'system' if packet.sum == 0 else 'backend'
        self.reset_at = self._record.now()
        self._record.log(
            'requester',
            'reset',
            flow=self.label,
            by=self.reset_by,
            state=self.state,
        )
        self.state = 'reset'
        self.end.stop()
        self._answered.set()

    def _send(self, raw):
        self.last_packet_at = self._record.now()
        self._requester.send(raw, self.own, self.route)

    async def _wait_answered(self, seconds):
        try:
            async with asyncio.timeout(seconds):
                await self._answered.wait()
        except TimeoutError:
            return False
        return True


class Router:
    """Stand in for the platform's routers, with a steady hash."""

    def __init__(self, world):
        self._world = world
        self._misses = {}

    def pick(self, own, route):
        """Return the DatagramAddr of the balancer for a packet."""
        machines = self._world.balancers
        ready = [
            each for each in machines if self._misses.get(each.host, 2) < 2
        ]
        name = f'{own}{route}'
        chosen = max(
            ready or machines,
            key=lambda each: zlib.crc32(f'{each.host}{name}'.encode()),
            default=None,
        )
        return chosen and (chosen.host, self._world.ports['datagram'])

    async def run(self):
        """Check each balancer twice a second."""
        while True:
            checks = [self._check(each) for each in self._world.balancers]
            await asyncio.gather(*checks)
            await asyncio.sleep(0.5)

    def all_ready(self):
        """Return whether all balancers are in rotation."""
        return all(
            self._misses.get(each.host, 2) == 0
            for each in self._world.balancers
        )

    async def _check(self, machine):
        address = (machine.host, self._world.ports['readiness'])
        try:
            reply = await call(
                address, 'GET', '/bluebellfold/ready', timeout=0.4
            )
            good = reply.status == 200
        except OSError:
            good = False
        if good:
            self._misses[machine.host] = 0
        else:
            self._misses[machine.host] = self._misses.get(machine.host, 2) + 1


class Machine:
    """Hold one machine, and the process of the system that runs there."""

    def __init__(self, world, role, number, *, zone='z1', service=''):
        self.world = world
        self.role = role
        self.zone = zone
        self.service = service
        self.host = world.host(number)
        self.name = f'{role}-{number}'
        self.process = None
        self.starts = 0
        ports = world.ports
        self.app = (self.host, ports['app'])
        self.outbound = (self.host, ports['outbound'])
        self.control = (self.host, ports['control'])

    async def start(self, *, wait=True):
        """Start the process as the platform does."""
        self.starts += 1
        settings = self.world.folder / f'{self.name}-{self.starts}.ini'
        role = self.world.deploy['roles'][self.role]
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        settings.write_text(render(template, self._fields()), encoding='utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BLUEBELLFOLD_SETTINGS'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = self.world.folder / f'{self.name}-{self.starts}.log'
        with log.open('wb') as output:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=asyncio.subprocess.STDOUT,
            )
        self.world.started.append(self.process)
        self.world.disturb(self)
        self.world.record.log(self.name, 'process starts', host=self.host)
        if wait:
            await self.wait_listening()

    async def stop(self):
        """Stop the process as planned, and return its exit code."""
        self.world.disturb(self)
        self.world.record.log(self.name, 'SIGTERM')
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.world.disturb(self)
        code = self.process.returncode
        self.world.record.log(self.name, 'process ended', code=code)
        return code

    async def kill(self):
        """Kill the process."""
        self.world.disturb(self)
        self.world.record.log(self.name, 'SIGKILL')
        self.process.kill()
        await self.process.wait()

    async def wait_listening(self):
        """Wait until the process serves its readiness address."""
        address = (self.host, self.world.ports['readiness'])
        for _ in range(400):
            try:
                await call(address, 'GET', '/bluebellfold/ready', timeout=0.5)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            return
        raise RuntimeError(f'{self.name} does not listen')

    def _fields(self):
        ports = self.world.ports
        return {
            'NodeName': self.name,
            'Role': self.role,
            'Zone': self.zone,
            'Ip': self.host,
            'PortRange': [ports['range'], ports['range'] + 15],
            'HeartbeatMs': round(HEARTBEAT_S * 1000),
            'Service': self.service,
            'app': '{}:{}'.format(*self.app),
            'Listen': {
                'DatagramAddr': f'{self.host}:{ports["datagram"]}',
                'ReadinessAddr': f'{self.host}:{ports["readiness"]}',
                'outbound': '{}:{}'.format(*self.outbound),
                'Control': '{}:{}'.format(*self.control),
            },
            'platform': {'Address': '{}:{}'.format(*self.world.store_address)},
        }


def render(template, fields):
    """Fill in the placeholders of a settings template."""

    def find(match):
        found = fields
        for part in match[1].split('.'):
            found = found[int(part)] if part.isdigit() else found[part]
        return str(found)

    return re.sub(r'\{\{([\w.]+)\}\}', find, template)


class World:
    """Hold the machines, stand-ins and processes of one run."""

    def __init__(self, folder, record, *, trouble):
        self.folder = folder
        self.record = record
        self.trouble = trouble
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        self.started = []
        self.balancers = []
        self.agents = []
        self.requesters = []
        self.backends = []
        self.version = 0
        self._disturbed = {}
        self._net, self.ports = choose_addresses()
        self.store_address = (self.host(9), self.ports['store'])
        self.store = Store(record)
        self.router = Router(self)
        self._router_task = None

    def host(self, number):
        """Return an address of this run."""
        return f'127.{self._net[0]}.{self._net[1]}.{number}'

    def disturb(self, machine):
        """Note an impairment, a start or a stop of a machine."""
        self._disturbed.setdefault(machine.host, []).append(self.record.now())

    def in_touch(self, machine, at):
        """Return whether a machine was left alone for StableWindowMs."""
        times = self._disturbed.get(machine.host, [])
        return not any(at - STABLE_WINDOW_S <= each <= at for each in times)

    def configure(self, routes, *, idle_ms=15_000):
        """Write a desired state: a service by each port of the routes."""
        self.version += 2
        spec = {
            'Version': self.version,
            'Routes': [
                {
                    'Name': f'r-{port}',
                    'Hostname': self.host(200),
                    'PathPrefix': f'/{port}/',
                    'Type': 'idempotent',
                    'TimeoutMs': 3000,
                    'TargetLatencyMs': 225,
                    'Priority': 2,
                    'Service': service,
                    'MaxAttempts': 2,
                }
                for port, service in routes.items()
            ],
            'Services': [
                {
                    'Name': service,
                    'HealthPath': '/health',
                    'MaxConnections': 2000,
                    'Protocol': 'h1',
                    'Tls': False,
                }
                for service in sorted(set(routes.values()))
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 262144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': idle_ms,
            },
        }
        self.store.operate('config', 'main', spec)
        self.record.log(
            'operator',
            'version acknowledged',
            version=self.version,
            idle_ms=idle_ms,
        )

    def route(self, port):
        """Return the (address, port) that requesters send to."""
        return (self.host(200), port)

    async def start(self, *, balancers):
        """Start the store, the routers and the balancers."""
        await self.store.start(self.store_address)
        for number in range(balancers):
            machine = Machine(self, 'balancer', 10 + number)
            self.balancers.append(machine)
        await asyncio.gather(*(each.start() for each in self.balancers))
        self._router_task = asyncio.create_task(self.router.run())

    async def add_side(self, number, service, **fields):
        """Start a side machine's agent, and return the machine."""
        machine = Machine(self, 'agent', number, service=service, **fields)
        await machine.start()
        self.agents.append(machine)
        return machine

    def backend(self, machine, name, **fields):
        """Start a backend on a side machine."""
        backend = Backend(self, machine, name, **fields)
        self.backends.append(backend)
        return backend

    def requester(self):
        """Return a requester at an address of its own."""
        requester = Requester(self, self.host(64 + len(self.requesters)))
        self.requesters.append(requester)
        return requester

    async def wait_ready(self):
        """Wait until all balancers are in rotation."""
        for _ in range(200):
            if self.router.all_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError('the balancers do not get ready')

    async def close(self):
        """End all that was started."""
        if self._router_task:
            self._router_task.cancel()
        for requester in self.requesters:
            requester.close()
        for backend in self.backends:
            if backend.is_alive:
                backend.exit()
        for process in self.started:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.store.close()


def choose_addresses():
    """Return a free network of loopback and the ports to use in it."""
    for _ in range(50):
        net = (random.randrange(20, 250), random.randrange(1, 250))
        first = random.randrange(20_000, 31_000)
        names = ('datagram', 'readiness', 'outbound', 'control', 'app', 'store')
        ports = {name: first + number for number, name in enumerate(names)}
        ports['range'] = first + 20
        if all(_is_free(net, port) for port in (*ports.values(), 9464)):
            return net, ports
    raise RuntimeError('no free ports')


def _is_free(net, port):
    host = f'127.{net[0]}.{net[1]}.10'
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def main(case):
    """Run a case and exit with 1 if its rule was broken, 0 if it held."""
    here = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(here / 'record.txt')
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    record.log('case', 'begins', trouble=trouble)
    # The processes that were started are ended too.
    signal.signal(signal.SIGTERM, _stop)
    try:
        verdict = asyncio.run(_run(case, folder, record, trouble))
    except Exception as error:
        record.log('case', 'could not run', error=repr(error))
        verdict = NOT_RUN
    finally:
        if os.environ.get('KEEP'):
            record.log('case', 'keeps', folder=folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    words = ('held', 'BROKEN', 'NOT RUN')
    record.log('case', f'rule {words[verdict]}')
    sys.stdout.write(f'{here.name}: rule {words[verdict]}\n')
    sys.exit(verdict)


def _stop(*_):
    raise SystemExit(NOT_RUN)


async def _run(case, folder, record, trouble):
    world = World(folder, record, trouble=trouble)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            return await case(world)
    finally:
        await world.close()
