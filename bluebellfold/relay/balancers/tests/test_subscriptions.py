"""Test which balancers an agent tells its load."""

from bluebellfold.relay.balancers import Subscriptions, tag_of
from bluebellfold.relay.tests.scene import hello_of

FIRST = ('10.1.0.1', 7720)
SECOND = ('10.1.0.2', 7720)


def subscribed(*addresses, idle_seconds=15):
    subscriptions = Subscriptions()
    for address in addresses:
        subscriptions.renew(address, hello_of(idle_seconds=idle_seconds), 0)
    return subscriptions


def test_balancer_is_new_once():
    subscriptions = Subscriptions()
    assert subscriptions.renew(FIRST, hello_of(), 0)
    assert not subscriptions.renew(FIRST, hello_of(), 0)


def test_offers_are_counted_for_each_balancer():
    subscriptions = subscribed(FIRST, SECOND)
    subscriptions.count_offer(FIRST)
    assert subscriptions.offers_of(FIRST) == 1
    assert subscriptions.offers_of(SECOND) == 0
    assert subscriptions.offers_of(('10.1.0.9', 1)) is None


def test_hello_tells_of_offers_that_were_lost():
    subscriptions = subscribed(FIRST)
    subscriptions.renew(FIRST, hello_of(offers_sent=7), 1)
    assert subscriptions.offers_of(FIRST) == 7


def test_silent_balancer_is_forgotten():
    subscriptions = subscribed(FIRST, SECOND)
    subscriptions.renew(SECOND, hello_of(), 1.5)
    assert subscriptions.expire(2.5) == [FIRST]
    assert len(subscriptions) == 1


def test_what_is_urgent_goes_where_the_hello_came_from():
    subscriptions = Subscriptions()
    subscriptions.renew(FIRST, hello_of(reports_port=9), 0)
    assert subscriptions.receivers(urgent=True) == [(FIRST, 0)]
    assert subscriptions.receivers(urgent=False) == [((FIRST[0], 9), 0)]


def test_balancer_is_found_by_the_tag_on_a_packet():
    subscriptions = subscribed(FIRST, SECOND)
    assert subscriptions.find_tagged(tag_of(SECOND)) == SECOND
    assert subscriptions.find_tagged(1) is None
