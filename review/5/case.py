"""A core machine is removed for good after its successor has caught up; then another one loses its disk. Is what was
acknowledged still there?"""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib'))
from harness import *

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# Only to find the cause: seconds between the two, which of them are done, and SOFT=1 for SIGTERM in place of the kill.
GAP = float(os.environ.get('GAP', '1.0'))
ONLY = os.environ.get('ONLY', 'both')
HERE = os.path.dirname(os.path.abspath(__file__))
HOST = 'dese56.example'
SETTLE_S = (BOUNDS['catch_up_s'] * 1000 + BOUNDS['contact_ms']) / 1000      # 8 s


async def client(s, n, tries, stop):
    k = 0
    while not stop.is_set():
        k += 1
        conn = Connection(s.random.choice(s.ready()))
        t = await conn.send(HOST, '/gowu780/x', f'c{n}-{k}', 3000)
        conn.close()
        tries.append(t)
        wait = 0.1
        if t['status'] == 503:
            wait = min(1.0, float(t['headers'].get('retry-after', 0.1)))
        await asyncio.sleep(wait)


async def play():
    log = Log()
    s = System(log, edges=3, cores=3, services=[service('huvo11a', 8, 400)],
               routes=[route('gowu780', 'huvo11a', 'idempotent', deadline_ms=3000)])
    tries, stop, clients, broken = [], asyncio.Event(), [], []
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
        log('all edge machines are ready; clients begin')
        clients = [asyncio.ensure_future(client(s, n, tries, stop)) for n in range(8)]
        await asyncio.sleep(SETTLE_S)
        old, other = s.of('core')[0], s.of('core')[1]
        new = dict(old, name=f"core-{old['zone']}-11", ip=f"{old['ip'].rsplit('.', 1)[0]}.160")
        s.machines.append(new)
        s.seed_names = [m['name'] for m in s.of('core') if m is not old]
        s.start_machine(new, bootstrap=False)
        log(f"{new['name']} is added, with an empty disk, at a new address")
        await asyncio.sleep(SETTLE_S)               # its catch_up_s, and contact_ms more
        s.routes[0]['deadline_ms'] = 2900
        sent = s.config(2)
        status = await s.put(sent, 10)
        log(f'operator: Config.Replace revision 2 -> {status}')
        if status != 200:
            return 2
        await asyncio.sleep(2)
        if TROUBLE and ONLY in ('both', 'removal'):
            s.signal_machine(old, signal.SIGTERM if os.environ.get('SOFT') == '1' else signal.SIGKILL)
            s.machines.remove(old)
            await s.wait_end(old)
            log(f"{old['name']} is removed for good; {new['name']}, its successor, has been up for {SETTLE_S + 2:.0f} s")
        await asyncio.sleep(GAP)
        if TROUBLE and ONLY in ('both', 'disk'):
            s.signal_machine(other, signal.SIGKILL)
            await s.wait_end(other)
            s.wipe(other)
            log(f"{other['name']} loses its disk: killed, disk emptied")
            await asyncio.sleep(0.9)
            s.start_machine(other, bootstrap=False)
            log(f"{other['name']} is started again at its old address, bootstrap false")
        back = now()
        # The operator reads back for 40 s, at every core machine in turn.
        good, answers = None, {}
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
        last = [t for t in tries if t['sent'] > now() - 5]
        log(f"served in the last 5 s: {sum(t['status'] == 200 for t in last)} of {len(last)}")
        for line in broken:
            log('BROKEN: ' + line)
        return 1 if broken else 0
    finally:
        stop.set()
        for c in clients:
            c.cancel()
        await s.end()
        record(HERE, log)


main(play)
