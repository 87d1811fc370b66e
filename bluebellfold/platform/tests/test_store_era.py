"""Test which era a response of the store belongs to."""

import asyncio

import pytest

from bluebellfold.core import NO_ERA, StorePosition
from bluebellfold.core.http_client import ClientResponse, HttpClient
from bluebellfold.core.site import Endpoint
from bluebellfold.platform import MAX_ERA, ObjectStoreClient, StoreError
from bluebellfold.platform.store_era import UNREADABLE_ERA, decode_era

ENDPOINT = Endpoint(host='127.0.0.1', port=1)


class Responses(HttpClient):
    """Return one response after the other."""

    def __init__(self, *responses):
        super().__init__(endpoint=ENDPOINT)
        self._responses = list(responses)

    async def send_request(
        self, request, *, timeout_seconds, max_body_bytes=None
    ):
        return self._responses.pop(0)


def page(name, *, headers, has_more):
    body = b'{"items":[{"meta":{"Name":"%s","Revision":1}}],' % name.encode()
    body += b'"HasMore":%s,"StoreRevision":9}' % str(has_more).lower().encode()
    return ClientResponse(status=200, body=body, headers=headers)


def list_pages(*pages):
    client = ObjectStoreClient(endpoint=ENDPOINT)
    client._http_client = Responses(*pages)
    return asyncio.run(client.list_objects('agents'))


@pytest.mark.parametrize('era', [1, 7, MAX_ERA])
def test_era_is_read(era):
    assert decode_era({'store-era': str(era)}) == era


@pytest.mark.parametrize(
    'text',
    ['', 'x', '-1', '+1', '0', ' 1', '1.0', '1e3', '\u0662', '9' * 4000],
)
def test_text_that_is_no_era_is_unreadable(text):
    assert decode_era({'store-era': text}) is UNREADABLE_ERA


def test_era_beyond_the_range_is_unreadable():
    assert decode_era({'store-era': str(MAX_ERA + 1)}) is UNREADABLE_ERA


def test_list_without_an_era_is_read():
    listed = list_pages(page('one', headers={}, has_more=False))
    assert listed.position == StorePosition(era=NO_ERA, revision=9)


# Guards against a list with pages from before and after the store's return.
def test_list_of_two_eras_is_not_used():
    with pytest.raises(StoreError):
        list_pages(
            page('one', headers={'store-era': '1'}, has_more=True),
            page('two', headers={'store-era': '2'}, has_more=False),
        )
