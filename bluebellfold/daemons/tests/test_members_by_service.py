"""Test that a balancer iterates its members once per change."""

from bluebellfold.callers import AddressChanged
from bluebellfold.collectors import NoTraces
from bluebellfold.core import (
    LEFT,
    SERVING,
    Actor,
    Endpoint,
    Key,
    ManualClock,
    Member,
    Process,
)
from bluebellfold.daemons.balancer import BalancerTask
from bluebellfold.daemons.process_context import ProcessContext
from bluebellfold.operators import KeyRing, Keys, load_site

RING = KeyRing(current=Key(number=1, secret=bytes(16)))


class CountingMembers:
    """Count how often the members are iterated."""

    def __init__(self, members):
        self._members = tuple(members)
        self.reads = 0

    def __iter__(self):
        self.reads += 1
        return iter(self._members)


class RecordingAddress(Actor):
    """Record the messages to an address task."""

    def __init__(self):
        super().__init__(name='told')
        self.messages = []

    def tell(self, message):
        self.messages.append(message)


class RecordingBalancer(BalancerTask):
    """Run a balancer whose addresses open no sockets."""

    def replace_members(self, members):
        self._members = members
        self.update_members(members)

    def messages_to(self, number):
        return self._addresses[number].messages

    def _start_address(self, change: AddressChanged):
        address = RecordingAddress()
        address.tell(change)
        self._addresses[change.kind.number] = address


def build_balancer():
    context = ProcessContext(
        settings=load_site('settings/base.ini', 'settings/marrinup.ini'),
        process=Process(
            name='b',
            zone='wa-south-a',
            host='127.0.0.1',
            control_port=1,
            datagram_port=0,
            keys_file='',
        ),
        keys=Keys(token=RING, envelope=RING),
        traces=NoTraces(),
        clock=ManualClock(),
    )
    return RecordingBalancer(context=context)


def build_member(number, *, service, state=SERVING):
    return Member(
        name=f'upstream-{number}',
        service=service,
        zone='wa-south-a',
        endpoint=Endpoint(host='127.0.0.1', port=7000 + number),
        control_port=8000,
        weight=1,
        state=state,
        incarnation=1,
        sequence=0,
    )


def test_members_are_read_once_for_all_addresses():
    balancer = build_balancer()
    members = CountingMembers(
        build_member(number, service=number % 2 + 1) for number in range(20)
    )

    balancer.replace_members(members)

    assert len(balancer._addresses) == 3
    assert members.reads == 1


def test_address_receives_members_of_its_service_only():
    balancer = build_balancer()
    first = build_member(1, service=1)
    second = build_member(2, service=2)
    left_member = build_member(3, service=1, state=LEFT)

    balancer.replace_members((first, second, left_member))

    assert balancer.messages_to(1)[-1].members == (first,)
    assert balancer.messages_to(2)[-1].members == (first,)
    assert balancer.messages_to(3)[-1].members == (second,)


def test_address_of_unchanged_service_receives_no_message():
    balancer = build_balancer()
    first = build_member(1, service=1)
    second = build_member(2, service=2)
    balancer.replace_members((first, second))

    balancer.replace_members((first, second.replace(sequence=1)))

    assert len(balancer.messages_to(1)) == 1
    assert len(balancer.messages_to(3)) == 2
