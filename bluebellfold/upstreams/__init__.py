"""Run requests at upstreams: admission, exchanges, retries, outcomes."""

from bluebellfold.upstreams.admission import (
    Admission,
    Admitted,
    QueueChanges,
    Queued,
    Refused,
)
from bluebellfold.upstreams.codec import outcome_fields
from bluebellfold.upstreams.disciplines import disciplines
from bluebellfold.upstreams.exchange import ConnectionReturned, ExchangeTask
from bluebellfold.upstreams.idle_connections import IdleConnections
from bluebellfold.upstreams.messages import (
    BodyPart,
    BodyPartSent,
    Cancel,
    HeaderField,
    Request,
    ResponseBody,
    ResponseEnd,
    ResponseHead,
    WindowUpdate,
)
from bluebellfold.upstreams.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Unknown,
    outcome_name,
)
from bluebellfold.upstreams.probe import ProbeTask, UpstreamLoadReported
from bluebellfold.upstreams.request_messages import (
    BodyBytesSent,
    CancelRequest,
    DrainRequests,
    GetRequestCounts,
    RequestCounts,
    ResponseForwarded,
    SetObserver,
    Submit,
    SubmitBody,
    UpdateService,
    UpstreamShed,
    UsageChanged,
)
from bluebellfold.upstreams.requests import RequestsTask
from bluebellfold.upstreams.retries import Attempt, RetryBudget

__all__ = (
    'Admission',
    'Admitted',
    'Answered',
    'Attempt',
    'BodyBytesSent',
    'BodyPart',
    'BodyPartSent',
    'Cancel',
    'CancelRequest',
    'ConnectionReturned',
    'DrainRequests',
    'ExchangeTask',
    'GetRequestCounts',
    'HeaderField',
    'IdleConnections',
    'NotRun',
    'Outcome',
    'ProbeTask',
    'QueueChanges',
    'Queued',
    'Refused',
    'Request',
    'RequestCounts',
    'RequestsTask',
    'ResponseBody',
    'ResponseEnd',
    'ResponseForwarded',
    'ResponseHead',
    'RetryBudget',
    'SetObserver',
    'Submit',
    'SubmitBody',
    'Unknown',
    'UpdateService',
    'UpstreamLoadReported',
    'UpstreamShed',
    'UsageChanged',
    'WindowUpdate',
    'disciplines',
    'outcome_fields',
    'outcome_name',
)
