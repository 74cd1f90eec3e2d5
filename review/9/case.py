"""ONE: after all machines have restarted and a drill of the store, a usage
window is reported a second time with other counts."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "common-2"))
import kit  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
AWAY_S = 1.0  # the store is away, and the processes are down


async def case(record):
    broken = []
    async with kit.Rig(hosts=3, llm=2, api=2) as rig:
        await rig.wait_membership()
        stop = asyncio.Event()

        async def calls(host):
            while not stop.is_set():
                caller = host.caller()
                try:
                    while not stop.is_set():
                        ident = await caller.send("POST", "/o/x", b"entry")
                        got = await caller.receive()
                        record.add("%s at %s: %d" % (ident, host.name,
                                                     got.status))
                        if not got.status:
                            break
                        await asyncio.sleep(0.05)
                except OSError:
                    pass
                caller.close()
                await asyncio.sleep(0.1)

        tasks = [asyncio.create_task(calls(host)) for host in rig.hosts]
        # A whole window, and its report.
        await asyncio.sleep(6)
        copy = rig.store.revision
        before = len(rig.cloud.usage)
        record.add("the store may be copied from now on")

        async def copy_often():
            nonlocal copy
            while len(rig.cloud.usage) == before:
                now = rig.store.revision
                await asyncio.sleep(2)
                if len(rig.cloud.usage) == before:
                    copy = now
        copies = asyncio.create_task(copy_often())
        await kit.standin.wait_until(
            "a window is reported", lambda: len(rig.cloud.usage) > before, 12)
        copies.cancel()
        await asyncio.sleep(0.3)
        record.add("the store's copy is of revision %d, the store is at %d" % (
            copy, rig.store.revision))
        if kit.TROUBLE:
            record.add("all processes are killed, the store is away")
            for host in rig.hosts:
                host.kill()
            rig.store.faults[None] = "reset"
            await asyncio.sleep(AWAY_S)
            rig.store.restore(copy)
            rig.store.faults.clear()
            record.add("the store is back from the copy, era %d" %
                       rig.store.era)
            for worker in rig.workers:
                if "servers/" + worker.ident not in rig.store.items:
                    rig.list_worker(worker)
            for host in rig.hosts:
                host.start(first_start=False)
        await asyncio.sleep(14)
        stop.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        accepted = {}
        for at, leader, token, window, counts in rig.cloud.usage:
            record.add("%s reports window %d, token %d: %s" % (
                leader, window, token, counts), at)
            if accepted.setdefault(window, counts) != counts:
                broken.append("window %d was reported with %s and with %s" % (
                    window, accepted[window], counts))
    return broken


kit.run(case, FOLDER)
