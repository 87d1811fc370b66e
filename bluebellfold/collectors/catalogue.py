"""Register the events of all packages."""

import logging

from bluebellfold.collectors.events import UNKNOWN_EVENT, register

NO_REMEDY = 'none needed'

register(
    number='BBF0001',
    level=logging.ERROR,
    meaning='an actor failed to handle a message or a timer and continues',
    remedy='report it with the exception in the log line',
)
register(
    number='BBF0002',
    level=logging.ERROR,
    meaning='a task failed; a task that the process needs starts again',
    remedy='report it with the exception in the log line',
)
register(
    number='BBF0003',
    level=logging.INFO,
    meaning='all tasks of the process have started',
    remedy=NO_REMEDY,
)
register(
    number='BBF0004',
    level=logging.INFO,
    meaning='all tasks of the process have ended',
    remedy=NO_REMEDY,
)
register(
    number='BBF0005',
    level=logging.INFO,
    meaning='the agent has drained; work left at the deadline was ended',
    remedy='set a longer drain_seconds if requests were left open',
)
register(
    number='BBF0006',
    level=logging.ERROR,
    meaning='an invalid configuration is not used; the old one stays in force',
    remedy='correct the settings named in the log line and apply again',
)
register(
    number='BBF0007',
    level=logging.INFO,
    meaning='a configuration is in force in this process',
    remedy=NO_REMEDY,
)
register(
    number=UNKNOWN_EVENT.number,
    level=UNKNOWN_EVENT.level,
    meaning=UNKNOWN_EVENT.meaning,
    remedy=UNKNOWN_EVENT.remedy,
)
register(
    number='BBF0101',
    level=logging.INFO,
    meaning='the process has read its settings and is starting',
    remedy=NO_REMEDY,
)
register(
    number='BBF0102',
    level=logging.INFO,
    meaning='the process has ended gracefully',
    remedy=NO_REMEDY,
)
register(
    number='BBF0103',
    level=logging.WARNING,
    meaning='datagrams or requests were dropped, for the reason given',
    remedy='look up the reason in docs/REASONS.md; status shows the counts',
)
register(
    number='BBF0104',
    level=logging.ERROR,
    meaning='the process cannot start or continue',
    remedy='follow the remedy in the log line',
)
register(
    number='BBF0105',
    level=logging.WARNING,
    meaning='no metrics were collected for one interval',
    remedy='add processes of this role if the process stays overloaded',
)
register(
    number='BBF0106',
    level=logging.INFO,
    meaning='the key and certificate files were reloaded and are in use',
    remedy=NO_REMEDY,
)
register(
    number='BBF0107',
    level=logging.ERROR,
    meaning='key or certificate files are invalid; the old ones stay in use',
    remedy='follow the remedy in the log line and signal again',
)
register(
    number='BBF0108',
    level=logging.WARNING,
    meaning='log lines were suppressed by the rate limit',
    remedy='use the counters; raise the log level if this continues',
)
register(
    number='BBF0201',
    level=logging.WARNING,
    meaning='an overloaded task missed an update of members or configuration',
    remedy='add processes of this role; the next update has the full state',
)
register(
    number='BBF0202',
    level=logging.INFO,
    meaning='a peer is unreachable; it is retried within 10 s',
    remedy='none needed if the peer was stopped; else check its log',
)
register(
    number='BBF0203',
    level=logging.WARNING,
    meaning='a peer refused a call, for the reason given',
    remedy='follow the remedy in the reason',
)
register(
    number='BBF0300',
    level=logging.WARNING,
    meaning='an overloaded task missed a change in the platform',
    remedy='add processes of this role; the watch repeats the change',
)
register(
    number='BBF0301',
    level=logging.WARNING,
    meaning='the platform is unavailable; established flows continue',
    remedy='check the platform; the process retries by itself',
)
register(
    number='BBF0302',
    level=logging.INFO,
    meaning='the platform is available again',
    remedy=NO_REMEDY,
)
register(
    number='BBF0303',
    level=logging.INFO,
    meaning='a newer configuration is in force in this process',
    remedy=NO_REMEDY,
)
register(
    number='BBF0304',
    level=logging.DEBUG,
    meaning='a configuration no newer than the one in force was ignored',
    remedy=NO_REMEDY,
)
register(
    number='BBF0305',
    level=logging.WARNING,
    meaning='the process started without the platform, from its own files',
    remedy='check the platform; peers send the configuration they have',
)
register(
    number='BBF0306',
    level=logging.WARNING,
    meaning='an agent is not stored in the platform yet; its peers know it',
    remedy='check the platform; the agent retries by itself',
)
register(
    number='BBF0307',
    level=logging.ERROR,
    meaning='two operations wrote the same version of the configuration',
    remedy='apply the intended configuration again',
)
register(
    number='BBF0400',
    level=logging.ERROR,
    meaning='an exchange with an upstream failed with an unexpected error',
    remedy='report it with the exception in the log line',
)
register(
    number='BBF0401',
    level=logging.DEBUG,
    meaning='an upstream closed a connection while a body was sent to it',
    remedy='none needed; see the outcome of the request',
)
register(
    number='BBF0640',
    level=logging.INFO,
    meaning='a balancer has read the members stored in the platform',
    remedy=NO_REMEDY,
)
register(
    number='BBF0641',
    level=logging.ERROR,
    meaning='a members object cannot be decoded; announcements still arrive',
    remedy='compare the object named in the log line with its history',
)
register(
    number='BBF0642',
    level=logging.WARNING,
    meaning='an agent unreachable for minutes is presumed dead and removed',
    remedy='none needed; if the agent runs, check the network to it',
)
register(
    number='BBF0643',
    level=logging.WARNING,
    meaning='rows of agents presumed dead are still in the platform',
    remedy='check the platform; a balancer retries by itself',
)
register(
    number='BBF0701',
    level=logging.INFO,
    meaning='a new flow is offered to an agent',
    remedy=NO_REMEDY,
)
register(
    number='BBF0702',
    level=logging.INFO,
    meaning='a new flow is queued: no upstream of its service can accept it',
    remedy='add upstreams if flows are queued often',
)
register(
    number='BBF0703',
    level=logging.WARNING,
    meaning='a new flow is refused with a reset',
    remedy='look up the reason in docs/OPERATIONS.md',
)
register(
    number='BBF0704',
    level=logging.INFO,
    meaning='an agent declined a new flow, which is assigned again',
    remedy=NO_REMEDY,
)
register(
    number='BBF0705',
    level=logging.INFO,
    meaning='an agent reported that its upstream holds a flow',
    remedy=NO_REMEDY,
)
register(
    number='BBF0706',
    level=logging.WARNING,
    meaning='no upstream holds a flow any longer; its client is sent a reset',
    remedy='check the upstream that held it',
)
register(
    number='BBF0707',
    level=logging.INFO,
    meaning='a newer configuration is in force',
    remedy=NO_REMEDY,
)
register(
    number='BBF0708',
    level=logging.INFO,
    meaning='the list of agents has changed',
    remedy=NO_REMEDY,
)
register(
    number='BBF0709',
    level=logging.INFO,
    meaning="an agent's state, as known to a balancer, has changed",
    remedy=NO_REMEDY,
)
register(
    number='BBF0710',
    level=logging.INFO,
    meaning='the readiness of the balancer has changed',
    remedy=NO_REMEDY,
)
register(
    number='BBF0711',
    level=logging.INFO,
    meaning='an agent is unreachable; new flows are assigned to others',
    remedy='none needed if it was stopped; else check its log',
)
register(
    number='BBF0720',
    level=logging.INFO,
    meaning="an upstream's state, as known to its agent, has changed",
    remedy=NO_REMEDY,
)
register(
    number='BBF0721',
    level=logging.INFO,
    meaning='the agent declines a new flow',
    remedy=NO_REMEDY,
)
register(
    number='BBF0722',
    level=logging.INFO,
    meaning='a flow is open at the upstream',
    remedy=NO_REMEDY,
)
register(
    number='BBF0723',
    level=logging.INFO,
    meaning='a request begins at the upstream',
    remedy=NO_REMEDY,
)
register(
    number='BBF0724',
    level=logging.INFO,
    meaning='the upstream begins its response to a request',
    remedy=NO_REMEDY,
)
register(
    number='BBF0725',
    level=logging.WARNING,
    meaning='the upstream has lost an open flow; its client is sent a reset',
    remedy='check the upstream: it restarted or closed the flow',
)
register(
    number='BBF0726',
    level=logging.INFO,
    meaning="a balancer's subscription to load reports began or ended",
    remedy=NO_REMEDY,
)
register(
    number='BBF0727',
    level=logging.WARNING,
    meaning='an announcement of another start of the upstream is not applied',
    remedy='none needed for a late one; else compare the starts in the line',
)
register(
    number='BBF0728',
    level=logging.INFO,
    meaning='the agent has cleared the flow table of its upstream',
    remedy=NO_REMEDY,
)
register(
    number='BBF0729',
    level=logging.WARNING,
    meaning='a call to the agent was rejected',
    remedy='check the process that makes the call',
)
register(
    number='BBF0730',
    level=logging.ERROR,
    meaning='the configuration cannot be decoded; the old one stays in force',
    remedy='correct the object in the store',
)
register(
    number='BBF0731',
    level=logging.INFO,
    meaning='the store no longer has the history; the kind is listed again',
    remedy=NO_REMEDY,
)
register(
    number='BBF0732',
    level=logging.WARNING,
    meaning='the object of an agent cannot be decoded and is ignored',
    remedy='remove the object named in the log line',
)
register(
    number='BBF0733',
    level=logging.INFO,
    meaning='the agent is registered in the list of agents',
    remedy=NO_REMEDY,
)
register(
    number='BBF0757',
    level=logging.INFO,
    meaning='the agent is removed from the list: its upstream has deregistered',
    remedy=NO_REMEDY,
)
register(
    number='BBF0758',
    level=logging.INFO,
    meaning='the agent asks the store to delete this revision of its entry',
    remedy=NO_REMEDY,
)
register(
    number='BBF0759',
    level=logging.WARNING,
    meaning='the list lacks an agent that runs; it is kept while it reports',
    remedy='check who removed its entry, or whether the store lost writes',
)
register(
    number='BBF0760',
    level=logging.WARNING,
    meaning='the list may lack this agent; it reads its entry in the store',
    remedy='check who removed its entry, or whether the store lost writes',
)
register(
    number='BBF0761',
    level=logging.WARNING,
    meaning='the store came back from a copy that lacks its last writes',
    remedy='write again what the copy lacks; see docs/OPERATIONS.md',
)
register(
    number='BBF0762',
    level=logging.WARNING,
    meaning='a list of evacuated zones older than the known one is not used',
    remedy='none needed for a late one; else compare eras and revisions',
)
register(
    number='BBF0763',
    level=logging.WARNING,
    meaning='the store is in a newer era than before, as a watch has read',
    remedy=NO_REMEDY,
)
register(
    number='BBF0764',
    level=logging.WARNING,
    meaning='a response of the store names no era; the known one is assumed',
    remedy='check the store; it must not lose writes without a new era',
)
register(
    number='BBF0734',
    level=logging.WARNING,
    meaning='the agent could not be removed from the list of agents',
    remedy='none needed; balancers detect that it is unreachable',
)
register(
    number='BBF0735',
    level=logging.INFO,
    meaning='the settings were reloaded',
    remedy=NO_REMEDY,
)
register(
    number='BBF0736',
    level=logging.ERROR,
    meaning='the changed settings are invalid; the old ones stay in use',
    remedy='follow the remedy in the log line and signal again',
)
register(
    number='BBF0737',
    level=logging.WARNING,
    meaning='a watch has missed a change; the kind is listed again',
    remedy=NO_REMEDY,
)
register(
    number='BBF0738',
    level=logging.INFO,
    meaning='a reset for a flow that the upstream does not hold is suppressed',
    remedy=NO_REMEDY,
)
register(
    number='BBF0753',
    level=logging.INFO,
    meaning='a copy of the state is taken from another balancer',
    remedy='check why the store does not answer this balancer',
)
register(
    number='BBF0754',
    level=logging.WARNING,
    meaning='another balancer gave no copy of the state that can be used',
    remedy='none needed while another seed has a copy; else see the problem',
)
register(
    number='BBF0755',
    level=logging.INFO,
    meaning="the store's answer replaced the copy from another balancer",
    remedy=NO_REMEDY,
)
register(
    number='BBF0749',
    level=logging.INFO,
    meaning='the rate of new flows of a cold upstream is known or has changed',
    remedy=NO_REMEDY,
)
register(
    number='BBF0750',
    level=logging.INFO,
    meaning="the limit on a cold upstream's new flows begins or ends",
    remedy=NO_REMEDY,
)
register(
    number='BBF0743',
    level=logging.INFO,
    meaning='another start of the upstream replaces the known one',
    remedy=NO_REMEDY,
)
register(
    number='BBF0744',
    level=logging.INFO,
    meaning="an agent tells a balancer that its upstream doesn't hold a flow",
    remedy='the evidence names what the agent knows',
)
register(
    number='BBF0745',
    level=logging.INFO,
    meaning='a packet of an unknown flow is sent to the upstream',
    remedy='the upstream returns it if it does not hold the flow',
)
register(
    number='BBF0742',
    level=logging.INFO,
    meaning='an agent compared its start time with that of its upstream',
    remedy=NO_REMEDY,
)
register(
    number='BBF0741',
    level=logging.WARNING,
    meaning='the process was paused; its state of agents is outdated',
    remedy='check whether its VM was frozen or short of CPU time',
)
register(
    number='BBF0740',
    level=logging.WARNING,
    meaning='an agent did not reply to an offer; the flow is assigned again',
    remedy='check whether the agent was stopped or unreachable',
)
register(
    number='BBF0739',
    level=logging.INFO,
    meaning=(
        'a new flow was removed without a reset: its client stopped '
        'retransmitting, or an agent may have accepted it'
    ),
    remedy=NO_REMEDY,
)
register(
    number='BBF0746',
    level=logging.INFO,
    meaning='the evacuation of a zone, as known to a balancer, changed',
    remedy='check the zone name if the line counts no agents in it',
)
register(
    number='BBF0747',
    level=logging.INFO,
    meaning="the evacuation of the agent's zone, as told to it, changed",
    remedy=NO_REMEDY,
)
register(
    number='BBF0748',
    level=logging.WARNING,
    meaning='the object of an evacuation names no zone and is ignored',
    remedy='remove the object named in the log line',
)
register(
    number='BBF0751',
    level=logging.WARNING,
    meaning='flows of a service wait too long: its routes now get shares',
    remedy='add upstreams if it lasts; docs/OPERATIONS.md names the cause',
)
register(
    number='BBF0752',
    level=logging.INFO,
    meaning='the queued flows of a service no longer wait too long',
    remedy=NO_REMEDY,
)
