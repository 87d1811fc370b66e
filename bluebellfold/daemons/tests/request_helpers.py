"""Send requests in a scenario, and read which of them ran."""

import asyncio

REQUESTS = 12
EVENT_LOOP_CYCLES = 10


async def yield_to_event_loop(cycles):
    while cycles:
        cycles -= 1
        await asyncio.sleep(0)


def send_while_resuming(harness, kind, *balancers):
    async def send_and_resume():
        sending = asyncio.ensure_future(
            send_requests(harness, kind, *balancers)
        )
        # Each client binds its socket and sends during these cycles.
        await yield_to_event_loop(EVENT_LOOP_CYCLES)
        harness.fleet_harness.resume('balancer-3')
        return await sending

    return harness.run(send_and_resume())


async def send_requests(harness, kind, *balancers, path='', id_prefix=''):
    responses = await asyncio.gather(
        *(
            harness.fleet_harness.send_request(
                kind,
                f'{id_prefix or path or kind}-{seed}',
                *balancers,
                seed=seed,
                path=path,
            )
            for seed in range(REQUESTS)
        ),
    )
    return [response.status for response in responses]


def one_run_each(kind):
    return {f'{kind}-{seed}': 1 for seed in range(REQUESTS)}


def run_counts(harness, upstream):
    return {
        request: counts['begun']
        for request, counts in harness.run(
            harness.fleet_harness.run_counts(upstream)
        ).items()
        if counts['begun']
    }


def knows_member(agent):
    return lambda report: any(member.name == agent for member in report.members)
