"""Endpoints send some answers a second time, late: is a request refused that has run, or run twice?"""
import os, sys
from collections import Counter
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'lib'))
from harness import *

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HERE = os.path.dirname(os.path.abspath(__file__))
HOST = 'dese56.example'
FUNCTIONS, CLIENTS, TRIES = 24, 100, int(os.environ.get('TRIES', 2))
# As in the days of the small sites: garble "extra late", share 0.6, x 0.03, for 5 s; it may come more than once.
SHARE, X, FOR_S, EACH_S, WINDOWS = 0.6, 0.03, 5.0, 6.0, 13
# The share of requests that an endpoint turns away with 429 and X-Not-Executed, for reasons of its own (a quota, say).
AWAY = float(os.environ.get('AWAY', 0.15))


async def play():
    log = Log()
    names = [f'fn{n}' for n in range(FUNCTIONS)]
    s = System(log, edges=3, cores=3, services=[service(n, 8, 300, memory_mb=1400) for n in names],
               routes=[route(n, n, 'mutating', deadline_ms=4000, target=200, max_tries=TRIES) for n in names])
    for worker in s.workers.values():       # room for one endpoint of each function, as at a busy hour
        worker['mb'] = 5628
    window = [0.0, 0.0]
    surplus = Counter()

    def troubled(e):
        """Whether an endpoint is among the share in this window; endpoints come and go meanwhile."""
        return random.Random(f'{s.window_number} {e.id}').random() < SHARE

    async def behave(e, reader, writer, line, headers, body, at):
        id_ = headers.get('x-attempt-id')
        late = getattr(writer, 'late', None)
        writer.late = None
        if late:                    # the surplus answer, in the place where the next one is expected
            surplus['sent'] += 1
            writer.write(late[1])
            s.events.append((now(), late[0], id_, e.id))
        run = dict(at=at, id=id_, endpoint=e.id, ran=False)

        async def answer(status, more, data=b''):
            head = f'HTTP/1.1 {status} X\r\nX-Attempt-Id: {id_}\r\n' + ''.join(f'{k}: {v}\r\n' for k, v in more.items())
            whole = head.encode() + f'Content-Length: {len(data)}\r\n\r\n'.encode() + data
            writer.write(whole)
            await writer.drain()
            if TROUBLE and troubled(e) and window[0] <= now() < window[1] and s.random.random() < X:
                writer.late = (id_, whole)
                surplus[f'of {status}'] += 1
        if headers.get('x-expect-endpoint') not in (None, e.id):
            await answer(421, {})
            return True
        s.runs.append(run)
        quota = s.random.random() < AWAY
        if quota or e.busy >= e.slots:
            run['turned'] = True
            await answer(429 if quota else 503, {'X-Not-Executed': '1'})
            return True
        run['ran'] = True
        e.busy += 1
        try:
            await asyncio.sleep(0.02)
            await answer(200, {'X-Endpoint-Seal': f'seal-{id_}'}, f'{e.id} {id_}'.encode())
        finally:
            e.busy -= 1
        return True
    s.behave, s.events, s.window_number = behave, [], 0
    tries, stop = [], asyncio.Event()

    async def client(n):
        k, conn = 0, None
        while not stop.is_set():
            if conn is None or conn.writer is None:
                conn = Connection(s.random.choice(s.ready()))
            k += 1
            name, again = s.random.choice(names), 0
            while True:
                # An operation: up to two further tries, each with an id of its own, and only after a promise.
                id_ = f'c{n}-{k}.{again}'
                if conn is None or conn.writer is None:
                    conn = Connection(s.random.choice(s.ready()))
                t = await conn.send(HOST, f'/{name}/x', id_, 4000, 'POST', f'c{n}-{k}'.encode())
                t['operation'] = f'c{n}-{k}'
                tries.append(t)
                if t['status'] not in (408, 421, 429, 503) or again == 2:
                    break
                again += 1
                await asyncio.sleep(min(1.0, float(t['headers'].get('retry-after', 0.1))))
            await asyncio.sleep(s.random.expovariate(1 / 0.1))
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
        clients = [asyncio.ensure_future(client(n)) for n in range(CLIENTS)]
        await asyncio.sleep(6)
        for _ in range(WINDOWS):
            s.window_number += 1
            window[:] = [now(), now() + FOR_S]
            await asyncio.sleep(EACH_S)
        stop.set()
        await asyncio.wait(clients, timeout=6)
        ran = {}
        for r in s.runs:
            if r['ran']:
                ran.setdefault(r['id'], []).append(r)
        log(f'requests: {len(tries)}; answers: {Counter(str(t["status"]) for t in tries)}')
        log(f'turned away by endpoints: {sum("turned" in r for r in s.runs)}; endpoints: '
            f'{sum(e.stopped_at is None for e in s.endpoints.values())}; surplus answers: {dict(surplus)}')
        same = [ev for ev in s.events if ev[1] == ev[2]]
        log(f'surplus answers that met a new attempt with the same id: {len(same)}')
        twice = {i: rs for i, rs in ran.items() if len(rs) > 1}
        refused = [t for t in tries if t['status'] in (408, 421, 429, 503) and t['id'] in ran]
        by_id = {t['id']: t for t in tries}
        for i in list(dict.fromkeys([*twice, *(t['id'] for t in refused)]))[:20]:
            seen = [(r['at'], f"arrives at {r['endpoint']}: " + ('runs' if r['ran'] else 'turned away, not executed'))
                    for r in s.runs if r['id'] == i]
            seen += [(ev[0], f'{ev[3]} sends the late copy of an earlier answer to {ev[1]}') for ev in s.events if ev[2] == i]
            for at, what in sorted(seen):
                log(f'  {i} at {at:.3f} s {what}')
        for i, rs in list(twice.items())[:20]:
            log(f'TWICE: {i} (mutating) ran at ' + ', '.join(f"{r['at']:.3f} s on {r['endpoint']}" for r in rs)
                + f"; its client got {by_id.get(i, {}).get('status')}")
        for t in refused[:20]:
            log(f"REFUSED: {t['id']} (mutating) got {t['status']} at {t['end']:.3f} s, but ran at {ran[t['id']][0]['at']:.3f} s "
                f"on {ran[t['id']][0]['endpoint']}")
        done = Counter(i.rsplit('.', 1)[0] for i, rs in ran.items() for _ in rs)
        doubled = [o for o, times in done.items() if times > 1]
        log(f'run twice under one id: {len(twice)}; refused and yet run: {len(refused)}; operations that were carried out '
            f'more than once, though their clients tried again only after such a refusal: {len(doubled)} {doubled[:10]}')
        if twice or refused:
            log('BROKEN')
            return 1
        return 0
    finally:
        stop.set()
        await s.end()
        record(HERE, log, tries, s.runs)


main(play)
