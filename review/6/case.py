"""A tenant gets no more than its prepaid tokens when a process that the store
did not answer for a while is killed, and its successors soon after."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import lab  # noqa: E402

HOST = "ficu95.example"
PREPAID = 3600000
# The mean contract draft of the sheet: 9,190 tokens in, 10 events of 5 out.
PROMPT, OUTPUT, EVENT_TOKENS = 9190, 50, 5
ENGINES = 12
USUAL_PER_S = 12
# One tenant sends many times its usual.
HOT_PER_S = 60
USUAL_S = 9.0
# A part of the store, the partition of one topic, turns appends away for so long.
DOWN_S = 5.0
# From its beginning until the process is killed.
KILLED_AFTER_S = 3.0
KILLS = 3
RESTART_S = 0.5


class Tenant:
    """The tenant's clients, and what the tenant has got."""

    def __init__(self, record, gateway):
        self.record = record
        self.gateway = gateway
        self.count = 0
        self.delivered = {}
        self.statuses = {}

    async def ask(self):
        self.count += 1
        ident = f"a{self.count:015x}"
        channel = lab.Channel(self.gateway.port)
        try:
            await channel.open()
            channel.send("POST", HOST, "/contrato/1", [
                ("Attempt-Id", ident), ("Model", "m"), ("Token-Counts", f"{PROMPT},{OUTPUT}"),
                ("Prompt-Prefix", f"5c1e07a2:6300,{ident}:2890"), ("Deadline-Ms", "5000"),
                ("Key", "key-one")], b"x" * 9200)
            found = await channel.receive(6)
        except OSError:
            found = None
        status = lab.status_of(found)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == 200:
            self.delivered[ident] = found.body.count(b"data: ")
        channel.close()
        return status

    async def send(self, per_s, seconds):
        """Sends requests at this rate; waits for none of them."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.ensure_future(self.ask()))
            await asyncio.sleep(1 / per_s)
        return tasks

    def tokens(self, engines):
        """Input tokens once for each request that ran, and delivered output."""
        ran = {ident for engine in engines for ident in engine.runs}
        return PROMPT * len(ran) + EVENT_TOKENS * sum(self.delivered.values())


async def main(record, scratch, gateways):
    store = await lab.Store().start()
    engines = [await lab.Runner(record, f"i-e{n}", "lm", engine=410063).start()
               for n in range(ENGINES)]
    for engine in engines:
        engine.log_runs = False
        engine.prefill_per_s = 180000  # The 6,300 shared tokens are in the memory.
    routes = [lab.route("r-stream", "/contrato/", "streaming", "lm", 5000, attempts=2, affinity=True,
                        resumable=True, target_gap_ms=500)]
    tenants = [{"name": "t-one", "api_keys": ["key-one"], "priority": 1, "prepaid": PREPAID}]
    store.put("keyed.op", "config", lab.config(7, routes, [lab.service("lm", lab.ENGINE)], tenants))
    beats = asyncio.ensure_future(lab.heartbeats(store, engines))

    state = {"down": False, "armed": False, "begun": 0.0}
    conditional = asyncio.Event()
    own_topic = "keyed.fuchsiadrum"

    async def before(name, query):
        is_append = name == "log-append" and query["topic"] == own_topic
        return "busy" if is_append and state["down"] else None

    async def after(name, query):
        if name != "log-append":
            return None
        if query["topic"] == own_topic and state["armed"]:
            state.update(armed=False, down=True, begun=time.monotonic())
            record(f"an append to {own_topic} is done and not answered; the store turns the next "
                   "ones away")
            return "drop"
        if "at" in query:
            conditional.set()
        return None

    store.before, store.after = before, after
    gateway = lab.Gateway(record, scratch, "front-z-a-1", store, memory_mb=650, link_mbps=2500)
    gateways.append(gateway)
    await gateway.start()
    if not await gateway.wait_ready():
        record.say("the gateway did not become ready")
        return 2
    await asyncio.sleep(4)
    tenant = Tenant(record, gateway)
    tasks = await tenant.send(USUAL_PER_S, USUAL_S)
    record(f"the tenant has had {tenant.tokens(engines)} tokens; answers {tenant.statuses}")

    if lab.trouble():
        state["armed"] = True
        while not state["down"]:
            await asyncio.sleep(0.002)
    else:
        state["begun"] = time.monotonic()
    killed_at = state["begun"] + KILLED_AFTER_S
    tasks += await tenant.send(HOT_PER_S, killed_at - time.monotonic())
    if lab.trouble():
        for kill in range(KILLS):
            if kill > 0:
                # The process that last wrote to the store under a condition.
                await asyncio.wait_for(conditional.wait(), 5)
                await asyncio.sleep(0.02)
            gateway.process.kill()
            await gateway.process.wait()
            record(f"process killed {time.monotonic() - state['begun']:.2f} s after the beginning")
            await asyncio.sleep(RESTART_S)
            conditional.clear()
            await gateway.start()
    await asyncio.gather(*tasks)
    record(f"the tenant has had {tenant.tokens(engines)} tokens; answers {tenant.statuses}")
    await asyncio.sleep(max(0.0, state["begun"] + DOWN_S - time.monotonic()))
    state["down"] = False
    record("the store takes all appends")
    if not await gateway.wait_ready():
        record.say("the gateway did not become ready again")
        return 2
    await asyncio.sleep(3.5)

    # The rest of the budget is asked for until nothing is granted for 5 s.
    last = time.monotonic()
    served = 0
    while time.monotonic() - last < 5:
        tasks = await tenant.send(20, 1)
        await asyncio.gather(*tasks)
        now_served = tenant.statuses.get(200, 0)
        if now_served > served:
            served, last = now_served, time.monotonic()
    beats.cancel()
    total = tenant.tokens(engines)
    whole = sum(events == OUTPUT // EVENT_TOKENS for events in tenant.delivered.values())
    record(f"answers by status (0: none) {tenant.statuses}; {whole} whole answers alone are "
           f"{whole * (PROMPT + OUTPUT)} tokens")
    record.say(f"the tenant has had {total} tokens; it has prepaid {PREPAID}")
    return 1 if total > PREPAID else 0


if __name__ == "__main__":
    lab.run_case(main, FOLDER)
