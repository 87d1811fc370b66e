"""Make runs of days, and entries of a journal."""

import json

from scripts.regression.day_run import (
    CodeState,
    DayRun,
    Deployment,
    Figures,
)

EDGE = Deployment(name='edge', description_hash='ab12')


def make_run(commit, day, worth, *, trial='', at='1', **fields):
    figures = Figures(worth=worth, windows=worth / 2, prices=worth / 10)
    defaults = {
        'deployment': EDGE,
        'code': CodeState(commit=commit, uncommitted=trial),
        'started_at': at,
        'day': day,
        'name': f'name of {day}',
        'figures': figures,
    }
    return DayRun(**{**defaults, **fields})


def make_day(**fields):
    defaults = {
        'G': 0.8,
        'day': 'd1',
        'name': 'quiet-1',
        'fault': None,
        'rules': {},
        'parts': [['whole day', 0.6, 0.9], ['worst windows', 0.25, 0.7]],
        'prices': [['machine-seconds', 9.5, 0.02], ['cloud calls', 2, 0.01]],
    }
    return {**defaults, **fields}


def make_entry(*days, **fields):
    defaults = {
        'site': 'edge',
        'site_sha': 'ab12',
        'head': 'c1',
        'dirty': False,
        'policy': [{'path': '2 files', 'sha256': '9f'}],
        'at': ['2026-12-05T14:26:07Z', None],
        'days': days,
    }
    return json.dumps({**defaults, **fields}).encode()
