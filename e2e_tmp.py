import time, json, sys, uuid
from tests.common.deployment import *
from mulberryrill.internal.history.checks import run_checks
from mulberryrill.internal.history.reading import read_history
def key(): return str(uuid.UUID(int=(int(time.time()*1000)<<80 | uuid.uuid4().int & ((1<<80)-1)) & ~(0xF<<76) | (7<<76)))
d=Deployment(create_site(data_centres=2,instances=2))
A,B="kariakoo-1","kariakoo-2"
def load(label,n=10,inst=A):
    t0=time.time(); r=d.run_parallel([lambda i=i: d.complete(inst,f"{label} {i}") for i in range(n)]); ok=sum(map(bool,r))
    p=d.call(inst,"stock","/pay",b"{}",key=key()); print(label, f"ok {ok}/{n} in {time.time()-t0:.1f}s pay", p and (p.status, read_executed(p)), flush=True)
try:
    for p in d.plan.processes: d.start_process(p.name)
    d.wait_ready([p.name for p in d.plan.processes])
    t0=time.time(); print(d.apply_documents(), round(time.time()-t0,2))
    load("start"); load("start2")
    holder=d.operate(A,"GET","/v1/status").parse_json()["slot_holder"]; print("holder",holder)
    d.kill(f"{holder}-control"); load("holder control killed", inst=A); load("holder control killed", inst=B); time.sleep(4); load("after 4 s", inst=A)
    d.start_process(f"{holder}-control"); d.wait_ready([f"{holder}-control"]); load("restarted"); time.sleep(6); load("6 s after restart")
    d.set_faults("platform",log="down"); load("log down");
    a=d.operate(A,"POST","/v1/datacentres/msasani/orders",b'{"state":"drained","reason":"x"}'); print(a.status)
    time.sleep(2); load("log down, msasani drained", inst="msasani-1")
    d.kill(f"{B}-control"); d.start_process(f"{B}-control"); t0=time.time(); d.wait_ready([f"{B}-control"]); print("ready in outage", time.time()-t0)
    print(json.dumps(d.operate(B,"GET","/v1/status").parse_json()["services"]), len(d.operate(B,"GET","/v1/status").parse_json()["orders"]))
    d.set_faults("platform",log="up"); time.sleep(1.5); load("log up")
    d.operate(A,"POST","/v1/datacentres/msasani/orders",b'{"state":"in_service","reason":"x"}')
    d.pause(f"{A}-control"); time.sleep(5); load("control paused"); d.resume(f"{A}-control"); time.sleep(2); load("resumed")
    rev=d.operate(A,"GET","/v1/documents/stock").parse_json(); t0=time.time()
    r=d.apply(A,"stock",rev["document"].encode(),rev["revision"]); d.wait_in_force(A,"stock",r); print("applied", r, round(time.time()-t0,2))
    for r in run_checks(read_history(d.list_history_files())): print(r.check, r.examined, r.violations[:2])
    for p in d.plan.processes:
        if "control" in p.name:
            log=d.read_log(p.name); print(p.name, [l[:300] for l in log.splitlines() if '"ERROR"' in l][-3:])
    t0=time.time(); print(d.terminate(f"{A}-control"), time.time()-t0)
finally:
    d.close()
