"""Idempotent requests with a long body, at a target that loses answers."""

import asyncio
import hashlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))
import fleet as stand_ins  # noqa: E402

BODY_BYTES = 400_000
CHUNK_BYTES = 16_384
REQUEST_COUNT = 240
CONSUMER_COUNT = 6
TARGET_COUNT, LOSING_COUNT = 5, 3
# Share of the requests whose answer is lost (`answer_lost`, `reset`).
LOST_SHARE = 0.4
LOST_S = 4.0
HOST = 'windows.example'


async def case(fleet):
    sent, runs, statuses = {}, [], {}
    trouble_until_s = 0
    rng = random.Random(31)

    async def handle(target, first_line, fields, reader, writer):
        attempt = fields.get('x-attempt-id', '')
        body = await stand_ins.read_body(reader, fields)
        digest = hashlib.sha256(body).hexdigest()
        runs.append((attempt, digest))
        fleet.record('run', attempt, 'by', target.instance, len(body), 'bytes', digest[:16])
        await asyncio.sleep(0.05)
        is_trouble = (
            stand_ins.TROUBLE
            and target in fleet.targets[:LOSING_COUNT]
            and fleet.record.now_s() < trouble_until_s
        )
        if is_trouble and rng.random() < LOST_SHARE:
            fleet.record('answer lost', attempt, 'connection reset')
            writer.transport.abort()
            return False
        target.answer(writer, fields, 200, b'free windows')
        return True

    for _ in range(TARGET_COUNT):
        fleet.add_machine('abbotsford', 'windows')
    senders = [fleet.add_machine('chilliwack', 'records') for _ in range(2)]
    fleet.put_manifest([(HOST, stand_ins.rule('r-plan', '/plan/', 'idempotent', 'windows', 2000, 2))])
    for machine in fleet.machines:
        await machine.start()
        await fleet.add_target(machine, handle)
    await fleet.wait_ready()
    await asyncio.sleep(5)

    trouble_until_s = fleet.record.now_s() + LOST_S
    async def consume(number):
        for index in range(number, REQUEST_COUNT, CONSUMER_COUNT):
            body = random.Random(index).randbytes(BODY_BYTES)
            attempt, answer = await fleet.request(
                senders[number % 2], 'POST', HOST, f'/plan/{index}', body, 2000, CHUNK_BYTES
            )
            sent[attempt] = hashlib.sha256(body).hexdigest()
            statuses[attempt] = answer.status

    await asyncio.gather(*(consume(number) for number in range(CONSUMER_COUNT)))
    await asyncio.sleep(1)

    changed = [attempt for attempt, digest in runs if sent.get(attempt) != digest]
    for attempt in changed:
        fleet.record('UNASKED: run with a changed body', attempt, 'answered', statuses.get(attempt))
    fleet.record(len(runs), 'runs of', len(statuses), 'requests,', len(changed), 'runs with a changed body')
    if not runs:
        raise stand_ins.NotRunError('no request was run')
    return bool(changed)


stand_ins.main(Path(__file__).resolve().parent, case)
