"""Test that a balancer's work on a change grows with its members alone."""

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
from bluebellfold.daemons.parts import ProcessContext
from bluebellfold.operators import KeyRing, Keys, load_site

RING = KeyRing(current=Key(number=1, secret=bytes(16)))


class CountedMembers:
    """Count how often the whole table is read."""

    def __init__(self, members):
        self._members = tuple(members)
        self.reads = 0

    def __iter__(self):
        self.reads += 1
        return iter(self._members)


class ToldAddress(Actor):
    """Keep what an address's task is told."""

    def __init__(self):
        super().__init__(name='told')
        self.told = []

    def tell(self, message):
        self.told.append(message)


class RecordingBalancer(BalancerTask):
    """Be a balancer whose addresses open no sockets."""

    def take(self, members):
        self._members = members
        self.adopt_members(members)

    def told(self, number):
        return self._addresses[number].told

    def _start_address(self, change: AddressChanged):
        address = ToldAddress()
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


def test_the_table_is_read_once_for_all_addresses():
    balancer = build_balancer()
    members = CountedMembers(
        build_member(number, service=number % 2 + 1) for number in range(20)
    )

    balancer.take(members)

    assert len(balancer._addresses) == 3
    assert members.reads == 1


def test_each_address_hears_of_its_service_alone():
    balancer = build_balancer()
    first = build_member(1, service=1)
    second = build_member(2, service=2)
    gone = build_member(3, service=1, state=LEFT)

    balancer.take((first, second, gone))

    assert balancer.told(1)[-1].members == (first,)
    assert balancer.told(2)[-1].members == (first,)
    assert balancer.told(3)[-1].members == (second,)


def test_an_address_whose_service_did_not_change_is_told_nothing():
    balancer = build_balancer()
    first = build_member(1, service=1)
    second = build_member(2, service=2)
    balancer.take((first, second))

    balancer.take((first, second.replace(sequence=1)))

    assert len(balancer.told(1)) == 1
    assert len(balancer.told(3)) == 2
