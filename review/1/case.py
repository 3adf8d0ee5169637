"""Uploads in chunks of over a megabyte, at targets that shed some requests."""

import asyncio
import hashlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))
import fleet as stand_ins  # noqa: E402

BODY_BYTES = 3_000_000
CHUNK_BYTES = 16_384
UPLOAD_COUNT = 24
# Share of the requests that targets shed (`srv_grey`, `shed`): as in the site.
SHED_SHARE = 0.45
SHED_S = 8.0
HOST = 'photos.example'


async def case(fleet):
    sent, runs = {}, []
    trouble_until_s = 0
    rng = random.Random(31)

    async def handle(target, first_line, fields, reader, writer):
        attempt = fields.get('x-attempt-id', '')
        is_trouble = stand_ins.TROUBLE and fleet.record.now_s() < trouble_until_s
        if is_trouble and rng.random() < SHED_SHARE:
            # Answered before the body is read; it is read on later.
            fleet.record('shed', attempt, 'by', target.instance)
            target.refuse(writer, fields)
            await writer.drain()
            await stand_ins.read_body(reader, fields)
            return True
        body = await stand_ins.read_body(reader, fields)
        digest = hashlib.sha256(body).hexdigest()
        runs.append((attempt, digest))
        fleet.record('run', attempt, 'by', target.instance, len(body), 'bytes', digest[:16])
        await asyncio.sleep(0.05)
        target.answer(writer, fields, 200, b'stored')
        return True

    for zone in ('abbotsford', 'chilliwack', 'langley', 'mission'):
        fleet.add_machine(zone, 'photos')
    fleet.put_manifest([(HOST, stand_ins.rule('r-photo', '/photo/', 'upload', 'photos', 2500, 2))])
    for machine in fleet.machines:
        await machine.start()
        await fleet.add_target(machine, handle)
    await fleet.wait_ready()
    await asyncio.sleep(5)

    trouble_until_s = fleet.record.now_s() + SHED_S
    successes = {}
    for index in range(UPLOAD_COUNT):
        machine = fleet.machines[index % len(fleet.machines)]
        body = random.Random(index).randbytes(BODY_BYTES)
        attempt, answer = await fleet.request(
            machine, 'POST', HOST, f'/photo/{index}', body, 2500, CHUNK_BYTES
        )
        sent[attempt] = hashlib.sha256(body).hexdigest()
        successes[attempt] = answer.status
        await asyncio.sleep(0.2)
    await asyncio.sleep(1)

    changed = [attempt for attempt, digest in runs if sent.get(attempt) != digest]
    for attempt in changed:
        fleet.record('UNASKED: run with a changed body', attempt,
                     'answered', successes.get(attempt))
    fleet.record(len(runs), 'runs,', len(changed), 'with a changed body,',
                 sum(status == 200 for status in successes.values()), 'of',
                 UPLOAD_COUNT, 'uploads answered 200')
    if not runs:
        raise stand_ins.NotRunError('no request was run')
    return bool(changed)


stand_ins.main(Path(__file__).resolve().parent, case)
