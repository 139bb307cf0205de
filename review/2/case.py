"""The core's machines are replaced one after the other, the leader last: do the edge machines still follow control?"""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib'))
from harness import *

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ORDER = os.environ.get('ORDER', 'leader-last')
HERE = os.path.dirname(os.path.abspath(__file__))
HOST = 'dese56.example'
SETTLE_S = (BOUNDS['catch_up_s'] * 1000 + BOUNDS['contact_ms']) / 1000      # 8 s


async def client(s, n, tries, stop):
    k = 0
    while not stop.is_set():
        k += 1
        conn = Connection(s.random.choice(s.ready()))
        t = await conn.send(HOST, '/old/x', f'c{n}-{k}', 3000)
        conn.close()
        tries.append(t)
        wait = 0.1
        if t['status'] == 503:
            wait = min(1.0, float(t['headers'].get('retry-after', 0.1)))
        await asyncio.sleep(wait)


def share(tries, since, until=1e9):
    some = [t for t in tries if since <= t['sent'] < until]
    return f"{sum(t['status'] == 200 for t in some)} of {len(some)}"


async def leader(s):
    for m in s.of('core'):
        try:
            _, _, body = await asyncio.wait_for(call(m['ip'], CONTROL, 'GET', '/core'), 1)
            if json.loads(body).get('is_steward'):
                return m
        except Exception:
            pass
    return None


async def play():
    log = Log()
    s = System(log, edges=3, cores=3, services=[service('huvo11a', 8, 400)],
               routes=[route('old', 'huvo11a', 'idempotent', deadline_ms=3000)])
    tries, stop = [], asyncio.Event()
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
        clients = [asyncio.ensure_future(client(s, n, tries, stop)) for n in range(12)]
        await asyncio.sleep(SETTLE_S)
        first = list(s.of('core'))
        if ORDER == 'leader-last':
            last = await leader(s)
            first.sort(key=lambda m: m is last)
        for n, old in enumerate(first if TROUBLE else []):
            # The successor first, with an empty disk, at a new address; its seeds are machines that serve control now.
            new = dict(old, name=f"core-{old['zone']}-{n + 11}", ip=f"{old['ip'].rsplit('.', 1)[0]}.{160 + n}")
            s.machines.append(new)
            s.seed_names = [m['name'] for m in s.of('core')][:3]
            s.start_machine(new, bootstrap=False)
            await asyncio.sleep(SETTLE_S)
            log(f"{old['name']} ({old['ip']}) is replaced by {new['name']} ({new['ip']}): killed, it never comes back")
            s.signal_machine(old, signal.SIGKILL)
            s.machines.remove(old)
            await s.wait_end(old)
            if os.environ.get('REWRITE'):           # only to find the cause: the settings files get the new list
                s.seed_names = None
                for m in s.machines:
                    for role in s.roles(m):
                        s.write_settings(m, role, False)
            await asyncio.sleep(SETTLE_S)
        log(f'served so far: {share(tries, 0)}; control is now at ' + ', '.join(m['ip'] for m in s.of('core')))
        s.routes.append(route('new', 'huvo11a', 'idempotent', deadline_ms=3000))
        status = await s.put(s.config(2), 10)
        acked = now()
        log(f'operator: Config.Replace revision 2 (adds a route) -> {status}')
        if status != 200:
            return 2
        await asyncio.sleep(BOUNDS['config_apply_ms'] / 1000 + 2)
        broken = 0
        for rnd in range(8):
            for m in s.of('edge'):
                conn = Connection(m)
                t = await conn.send(HOST, '/new/x', f"n-{rnd}-{m['name']}", 3000)
                conn.close()
                late = t['sent'] - acked
                if t['status'] == 404:
                    broken += 1
                if rnd % 4 == 0 or t['status'] not in (200, 404):
                    log(f"{m['name']}: a request on the new route, sent {late:.1f} s after the acknowledgement -> "
                        f"{t['status'] or t['how']}")
            await asyncio.sleep(1)
        log(f'404 on the new route: {broken} of 24')
        log(f'served on the old route in the last 5 s: {share(tries, now() - 5)}')
        files = [n for n in sorted(os.listdir(s.folder)) if n.startswith('edge') and n.endswith('.json')]
        seeds = {tuple(json.load(open(os.path.join(s.folder, n)))['seed_nodes']) for n in files}
        log(f'seeds in the settings files of the edge machines: {sorted(seeds)}')
        await asyncio.sleep(22)
        log(f'served on the old route in the last 5 s: {share(tries, now() - 5)}; endpoints alive: '
            f'{sum(e.stopped_at is None for e in s.endpoints.values())}; processes of edge machines that run: '
            f"{sum(p.poll() is None for (n, _), p in s.procs.items() if n.startswith('edge'))}")
        if broken:
            log('BROKEN: a configuration that was acknowledged is not in force on machines in touch')
            return 1
        return 0
    finally:
        stop.set()
        await s.end()
        record(HERE, log, tries, s.runs)


main(play)
