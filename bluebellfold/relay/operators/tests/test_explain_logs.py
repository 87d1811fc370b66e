"""Test that a request is found in the logs of many processes."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellfold.relay.operators.explain import NothingFoundError, explain
from bluebellfold.relay.operators.explain_logs import explain_logs
from bluebellfold.relay.operators.line_search import (
    find_lines,
    find_needle,
    split_block,
)
from bluebellfold.relay.operators.log_reader import (
    BLOCK_BYTES,
    MAX_LINE_BYTES,
    LogReader,
    LogReadError,
)

FLOW = '100.64.0.7:40001>198.18.0.1:443'
OTHER_FLOW = '100.64.0.7:400011>198.18.0.1:443'


def line(time, event, flow=FLOW, **fields):
    written = {'time': time, 'event': event, 'flow': flow}
    return json.dumps({**written, **fields}) + '\n'


BALANCER_LOG = ''.join(
    (
        line('1', 'BBF0701', agent='10.0.0.1'),
        line('1', 'BBF0701', flow=OTHER_FLOW, agent='10.0.0.2'),
    )
)
AGENT_LOG = line('2', 'BBF0723', request='r-1') + line('3', 'BBF0725')


class RecordingProgress:
    def __init__(self):
        self.calls = []

    def start(self, label, total):
        self.calls.append([label, total, 0])

    def advance(self, steps):
        self.calls[-1][-1] += steps

    def finish(self):
        self.calls[-1].append('finished')


@pytest.fixture
def folder(tmp_path):
    (tmp_path / 'zone').mkdir()
    (tmp_path / 'zone' / 'balancer.log').write_text(BALANCER_LOG)
    (tmp_path / 'agent.log').write_text(AGENT_LOG)
    (tmp_path / 'empty.log').touch()
    return tmp_path


def test_request_is_followed_from_the_agent_to_the_balancers_log(folder):
    # Balancers write the flow only, and the balancer's file comes last.
    explanation = explain_logs('r-1', [str(folder)])
    assert len(explanation.steps) == 3
    assert 'BBF0701' in explanation.steps[0]
    assert 'lost the flow' in explanation.cause


def test_flow_needs_one_search_and_other_flows_with_its_prefix_are_left(folder):
    progress = RecordingProgress()
    explanation = explain_logs(FLOW, [str(folder)], progress=progress)
    assert len(explanation.steps) == 3
    size = len(BALANCER_LOG) + len(AGENT_LOG)
    assert progress.calls == [[f'searching for {FLOW}', size, size, 'finished']]


def test_files_and_folders_that_overlap_are_read_once(folder):
    paths = [str(folder), str(folder / 'agent.log')]
    assert len(LogReader(paths=paths).files) == 3
    assert len(explain_logs('r-1', paths).steps) == 3


def test_file_that_is_missing_is_named(folder):
    with pytest.raises(LogReadError, match='gone.log: not readable'):
        explain_logs('r-1', [str(folder / 'gone.log')])


def test_progress_ends_when_a_file_cannot_be_read(folder):
    # Guards against a bar that stays beside the error message.
    progress = RecordingProgress()
    reader = LogReader(paths=[str(folder)], progress=progress)
    lines = reader.search({b'r-1'}, 'searching')
    next(lines)
    (folder / 'zone' / 'balancer.log').unlink()
    with pytest.raises(LogReadError, match='balancer.log'):
        list(lines)
    assert progress.calls[0][-1] == 'finished'


def test_unknown_id_is_reported(folder):
    with pytest.raises(NothingFoundError, match='r-7'):
        explain_logs('r-7', [str(folder)])


@pytest.mark.parametrize('before_boundary', [1, 20, len(AGENT_LOG) - 1])
def test_line_that_spans_blocks_is_found(tmp_path, before_boundary):
    # Guards against a search that sees the two halves of a line apart.
    path = tmp_path / 'long.log'
    filler_bytes = BLOCK_BYTES - before_boundary
    filler = 'x\n' * (filler_bytes // 2) + '\n' * (filler_bytes % 2)
    path.write_text(f'{filler}{AGENT_LOG}')
    assert len(explain_logs('r-1', [str(path)]).steps) == 2


def test_what_has_no_line_breaks_is_not_kept_in_memory(tmp_path):
    path = tmp_path / 'core'
    path.write_bytes(bytes(MAX_LINE_BYTES + 2) + f'\n{AGENT_LOG}'.encode())
    assert len(explain_logs('r-1', [str(path)]).steps) == 2
    path.write_bytes(bytes(3 * BLOCK_BYTES) + b'r-1')
    reader = LogReader(paths=[str(path)])
    longest = max(map(len, reader.search({b'r-1'}, '')), default=0)
    assert longest <= BLOCK_BYTES


@pytest.mark.parametrize('escaped', ['>', r'\u003e', r'\u003E'])
def test_flow_is_found_however_a_collector_escapes_it(tmp_path, escaped):
    # Go's encoder, which many collectors use, escapes `>`.
    path = tmp_path / 'one.log'
    path.write_text(AGENT_LOG.replace('>', escaped))
    assert len(explain_logs(FLOW, [str(path)]).steps) == 2


@pytest.mark.parametrize('flow', [['a', 'list'], None, 7])
def test_odd_flow_in_a_line_is_passed_over(flow):
    odd = line('1', 'BBF0701', flow=flow, request='r-1')
    assert len(explain('r-1', [odd, AGENT_LOG.splitlines()[0]]).steps) == 1


def test_deeply_nested_line_is_passed_over():
    nested = f'{{"request": {"[" * 100_000} r-1\n'
    assert len(explain('r-1', [nested, AGENT_LOG.splitlines()[0]]).steps) == 1


@given(
    st.lists(st.sampled_from(['r-1', 'r-12', 'x', '', '>'])),
    st.sampled_from(['r-1', '>', 'x']),
)
def test_lines_found_are_those_that_contain_the_id(texts, wanted):
    block = '\n'.join(texts).encode()
    needle = find_needle(wanted)
    found = list(find_lines(block, {needle}))
    expected = [text for text in block.decode().splitlines() if wanted in text]
    if needle:
        assert found == expected
    assert set(expected) <= set(found)


@given(st.binary())
def test_block_is_split_after_its_last_line_break(block):
    whole, begun = split_block(block)
    assert whole + begun == block
    assert b'\n' not in begun
    assert not whole or whole.endswith(b'\n')


def test_line_with_two_needles_is_found_once():
    block = b'a b\nb\nc\na'
    assert list(find_lines(block, {b'a', b'b'})) == ['a b', 'b', 'a']
