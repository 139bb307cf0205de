"""The core moves to three new machines: these are up and have caught up, then the three old ones are told to end, at the
same moment. Is what was acknowledged still there?"""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib'))
from harness import *

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Only to find the cause: seconds between one SIGTERM and the next.
GAP = float(os.environ.get('GAP', '0'))
HERE = os.path.dirname(os.path.abspath(__file__))
SETTLE_S = (BOUNDS['catch_up_s'] * 1000 + BOUNDS['contact_ms']) / 1000      # 8 s


async def play():
    log = Log()
    s = System(log, edges=3, cores=3, services=[service('huvo11a', 8, 400)],
               routes=[route('gowu780', 'huvo11a', 'idempotent', deadline_ms=3000)])
    broken = []
    try:
        await s.begin()
        status = await s.put(s.config(1), 15)
        log(f'operator: Config.Replace revision 1 -> {status}')
        until = now() + 15
        while sum(n == 0 for n in s.missed.values()) < 3 and now() < until:
            await asyncio.sleep(0.1)
        if status != 200 or sum(n == 0 for n in s.missed.values()) < 3:
            log('the system did not come up')
            return 2
        log('all edge machines are ready')
        await asyncio.sleep(SETTLE_S)
        olds = list(s.of('core'))
        s.seed_names = [m['name'] for m in olds]            # the operator's list as it stands now
        news = []
        for n, old in enumerate(olds):
            new = dict(old, name=f"core-{old['zone']}-{11 + n}", ip=f"{old['ip'].rsplit('.', 1)[0]}.{160 + n}")
            s.machines.append(new)
            news.append(new)
            s.start_machine(new, bootstrap=False)
        log('three core machines are added, with empty disks, at new addresses: ' + ', '.join(m['ip'] for m in news))
        await asyncio.sleep(SETTLE_S)                       # their catch_up_s, and contact_ms more
        s.routes[0]['deadline_ms'] = 2900
        sent = s.config(2)
        status = await s.put(sent, 10)
        log(f'operator: Config.Replace revision 2 -> {status}')
        if status != 200:
            return 2
        await asyncio.sleep(2)
        if TROUBLE:
            told, ends = now(), []
            for old in olds:
                s.signal_machine(old, signal.SIGTERM)
                log(f"{old['name']} ({old['ip']}) gets SIGTERM: it is removed for good")
                s.machines.remove(old)
                ends.append(asyncio.ensure_future(s.wait_end(old, BOUNDS['grace_s'])))
                await asyncio.sleep(GAP)
            await asyncio.gather(*ends)
            log(f'the last of them has ended by itself {now() - told:.2f} s after the first SIGTERM (grace_s is 6)')
        # The operator reads back for 40 s, at every core machine in turn.
        back, good, answers = now(), None, {}
        while now() < back + 40 and good is None:
            for m in s.of('core'):
                try:
                    status, _, body = await asyncio.wait_for(call(m['ip'], CONTROL, 'GET', '/Config.Read'), 1)
                except Exception as e:
                    status, body = type(e).__name__, b''
                answers[status] = answers.get(status, 0) + 1
                if status == 200:
                    log(f"operator: Config.Read at {m['name']} -> 200, revision {json.loads(body)['revision']}")
                    good = json.loads(body) == sent
                    break
            await asyncio.sleep(0.5)
        log(f'operator: answers to Config.Read: {answers}')
        if good is None:
            broken.append('the acknowledged configuration (revision 2) does not come back for 40 s')
        elif not good:
            broken.append('Config.Read answers another configuration than the acknowledged one')
        s.routes[0]['deadline_ms'] = 2800
        status = await s.put(s.config(3), 10)
        log(f'operator: Config.Replace revision 3, sent for 10 s (ack_ms is 5000) -> {status}')
        if status != 200:
            broken.append('no later configuration is acknowledged')
        for line in broken:
            log('BROKEN: ' + line)
        return 1 if broken else 0
    finally:
        await s.end()
        record(HERE, log)


main(play)
