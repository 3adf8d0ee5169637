"""All daemons are killed after a departure was confirmed in an outage."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from fleet import Consumer, Fleet, Record, finish, has_trouble, manifest
from fleet import run_case
from platform_store import Store
from target import Target

SERVICE = 'billing'
DRAIN_TIMEOUT_S = 2.0
STABLE_WINDOW_S = 3.0
# Longest outage of the store in the site files' lists of disruptions.
OUTAGE_S = 4.5
# "a little longer (at times many seconds)"
SERVES_S = 12.0


async def main():
    record = Record(HERE / 'record.txt')
    fleet = Fleet(record)
    store = Store(record)
    consumer = Consumer(record)
    targets = []
    try:
        store.put(
            'config',
            'main',
            manifest(
                7, [('pay', 'non_idempotent', '/pay/', SERVICE)], [SERVICE]
            ),
        )
        for zone in ('depot-north', 'depot-east', 'depot-west'):
            machine = fleet.add(zone, SERVICE)
            await store.listen(machine.store_address)
            target = Target(
                record,
                machine.addresses['app'],
                SERVICE,
                zone,
                machine.addresses['control'],
                instance=f'i-{len(targets) + 1}',
            )
            targets.append(target)
        first, target = fleet.machines[0], targets[0]
        for machine, each in zip(fleet.machines, targets):
            await machine.start()
            await each.start()
        await fleet.wait_ready()
        while (await consumer.send(first, 'POST', '/pay/warm'))[1] != 200:
            await asyncio.sleep(0.1)
        await asyncio.sleep(4)
        back_s = time.monotonic()
        has_outage = has_trouble() and not os.environ.get('NO_OUTAGE')
        if has_outage:
            store.set_mode('busy')
            back_s += OUTAGE_S
            await asyncio.sleep(1)
        # It leaves without having reported that it drains.
        target.is_beating = False
        confirmed_s = None
        for _ in range(5):
            if await target.leave():
                confirmed_s = time.monotonic()
                break
            await asyncio.sleep(0.2)
        if confirmed_s is None:
            return finish(0, 'DRAIN held: nothing was confirmed', record)
        if has_trouble():
            if has_outage:
                await asyncio.sleep(0.5)
            await asyncio.gather(*(each.kill() for each in fleet.machines))
            await asyncio.sleep(0.3)
            for machine in fleet.machines:
                await machine.start()
        await asyncio.sleep(max(0, back_s - time.monotonic()))
        if has_outage:
            store.set_mode('up')
        await asyncio.sleep(STABLE_WINDOW_S + 1)
        await fleet.wait_ready()
        in_touch_s = time.monotonic()
        sends = []
        number = 0
        while time.monotonic() < confirmed_s + SERVES_S:
            number += 1
            sends.append(
                asyncio.ensure_future(
                    consumer.send(first, 'POST', f'/pay/{number}')
                )
            )
            await asyncio.sleep(0.05)
        await asyncio.gather(*sends)
        late = [
            run
            for run in target.runs
            if run['at'] > confirmed_s + DRAIN_TIMEOUT_S
            and consumer.sent[run['attempt']] >= in_touch_s
        ]
        served = sum(status == 200 for status in consumer.answers.values())
        if served < number // 2:
            return finish(2, f'only {served} requests were served', record)
        if late:
            after_ms = int((late[0]['at'] - confirmed_s) * 1000)
            return finish(
                1,
                f'DRAIN broken: {len(late)} requests reached the target later'
                f' than {int(DRAIN_TIMEOUT_S * 1000)} ms after its leaving'
                f' was confirmed, the first after {after_ms} ms',
                record,
            )
        return finish(0, 'DRAIN held', record)
    finally:
        for target in targets:
            await target.end()
        await fleet.close()
        await store.close()


if __name__ == '__main__':
    sys.exit(run_case(main))
