"""Connect to upstreams: admission, exchanges and their outcomes."""

from bluebellfold.upstreams.admission import (
    Admission,
    QueueChanges,
    Queued,
    Refused,
    Start,
)
from bluebellfold.upstreams.codec import outcome_fields
from bluebellfold.upstreams.disciplines import disciplines
from bluebellfold.upstreams.exchange import ConnectionBack, ExchangeTask
from bluebellfold.upstreams.idle import IdleConnections
from bluebellfold.upstreams.messages import (
    AnswerBody,
    AnswerEnd,
    AnswerHead,
    BodyPart,
    BodyTaken,
    Cancel,
    HeaderField,
    More,
    Request,
)
from bluebellfold.upstreams.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Unknown,
    outcome_name,
)
from bluebellfold.upstreams.probe import ProbeTask, UpstreamClaimed
from bluebellfold.upstreams.requests import RequestsTask
from bluebellfold.upstreams.retries import Attempt, RetryBudget
from bluebellfold.upstreams.submission import (
    AnswerPassed,
    BodyAccepted,
    BusyChanged,
    DrainRequests,
    GetRequestCounts,
    Observe,
    RequestCounts,
    SharesChanged,
    Submit,
    SubmitBody,
    UpstreamShed,
    Withdraw,
)

__all__ = (
    'Admission',
    'AnswerBody',
    'AnswerEnd',
    'AnswerHead',
    'AnswerPassed',
    'Answered',
    'Attempt',
    'BodyAccepted',
    'BodyPart',
    'BodyTaken',
    'BusyChanged',
    'Cancel',
    'ConnectionBack',
    'DrainRequests',
    'ExchangeTask',
    'GetRequestCounts',
    'HeaderField',
    'IdleConnections',
    'More',
    'NotRun',
    'Observe',
    'Outcome',
    'ProbeTask',
    'QueueChanges',
    'Queued',
    'Refused',
    'Request',
    'RequestCounts',
    'RequestsTask',
    'RetryBudget',
    'SharesChanged',
    'Start',
    'Submit',
    'SubmitBody',
    'Unknown',
    'UpstreamClaimed',
    'UpstreamShed',
    'Withdraw',
    'disciplines',
    'outcome_fields',
    'outcome_name',
)
