"""Test the subscriptions of balancers to load reports."""

from bluebellfold.relay.balancers import Subscriptions, balancer_tag

FIRST = ('10.1.0.1', 7720)
SECOND = ('10.1.0.2', 7720)


def subscribed(*addresses, idle_seconds=15):
    subscriptions = Subscriptions()
    for address in addresses:
        subscriptions.renew(
            address, idle_seconds=idle_seconds, offers_sent=0, now=0
        )
    return subscriptions


def test_only_the_first_renewal_adds_a_subscription():
    subscriptions = Subscriptions()
    assert subscriptions.renew(FIRST, idle_seconds=15, offers_sent=0, now=0)
    renewed = subscriptions.renew(FIRST, idle_seconds=15, offers_sent=0, now=0)
    assert not renewed


def test_offers_are_counted_for_each_balancer():
    subscriptions = subscribed(FIRST, SECOND)
    subscriptions.count_offer(FIRST)
    assert subscriptions.offer_count(FIRST) == 1
    assert subscriptions.offer_count(SECOND) == 0
    assert subscriptions.offer_count(('10.1.0.9', 1)) is None


def test_renewal_counts_lost_offers():
    subscriptions = subscribed(FIRST)
    subscriptions.renew(FIRST, idle_seconds=15, offers_sent=7, now=1)
    assert subscriptions.offer_count(FIRST) == 7


def test_subscription_expires_without_renewal():
    subscriptions = subscribed(FIRST, SECOND)
    subscriptions.renew(SECOND, idle_seconds=15, offers_sent=0, now=1.5)
    assert subscriptions.expire(2.5) == [FIRST]
    assert len(subscriptions) == 1


def test_balancer_is_found_by_the_tag_on_a_packet():
    subscriptions = subscribed(FIRST, SECOND)
    assert subscriptions.find_by_tag(balancer_tag(SECOND)) == SECOND
    assert subscriptions.find_by_tag(1) is None


# Guards against memory that grows with each balancer that was ever there.
def test_balancers_whose_offers_are_counted_are_bounded():
    counted = Subscriptions(max_counted=2)
    addresses = [(f'10.1.0.{number}', 7720) for number in range(3)]
    for address in (*addresses[:2], addresses[0], addresses[2]):
        counted.count_offer(address)
    assert [counted.offers_received(address) for address in addresses] == [
        2,
        0,
        1,
    ]
