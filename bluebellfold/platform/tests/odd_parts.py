"""Provide odd parts of documents, as other writers have left them."""

import json

# Keys name what is odd; the texts are JSON, or nearly.
ODD_PARTS = {
    'deeply nested list': b'[' * 100_000 + b']' * 100_000,
    'deeply nested object': b'{"a":' * 50_000 + b'1' + b'}' * 50_000,
    'integer of 4,000 digits': b'9' * 4_000,
    'integer of 400 digits': b'9' * 400,
    'integer of 70 bits': b'%d' % 2**70,
    'negative number': b'-70000',
    'port out of range': b'70000',
    'infinite number': b'1e999',
    'no number': b'NaN',
    'fraction': b'0.5',
    'truth': b'true',
    'null': b'null',
    'list': b'[]',
    'object': b'{}',
    'empty text': b'""',
    'long text': b'"' + b'x' * 100_000 + b'"',
    'control characters': json.dumps('a\0b\n').encode(),
    'lone surrogate': json.dumps('\ud800').encode(),
    'invalid UTF-8': b'"\xff\xfe"',
}
