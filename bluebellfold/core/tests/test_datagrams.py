"""Test how many datagrams a socket reads at a time."""

from contextlib import closing

from bluebellfold.core import Endpoint
from bluebellfold.core.datagrams import DatagramSocket

ANY = Endpoint(host='127.0.0.1', port=0)


def receive(receiver, now):
    return [datagram for datagram, _ in receiver.receive(now)]


def test_single_datagram_is_read_with_one_call():
    with closing(DatagramSocket(endpoint=ANY)) as receiver:
        with closing(DatagramSocket(endpoint=ANY)) as sender:
            sender.send_to(b'1', receiver.address)
            sender.send_to(b'2', receiver.address)
            assert receive(receiver, 5.0) == [b'1']
            # Called again at once, since the socket is still readable.
            sender.send_to(b'3', receiver.address)
            assert receive(receiver, 5.0001) == [b'2', b'3']
            sender.send_to(b'4', receiver.address)
            assert receive(receiver, 5.1) == [b'4']
            assert receive(receiver, 5.2) == []
