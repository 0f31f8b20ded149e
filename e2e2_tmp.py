import time, json, sys, uuid
from tests.common.deployment import *
d=Deployment(create_site(data_centres=2,instances=2))
A,B="kariakoo-1","kariakoo-2"
def st(): 
    b=d.operate(A,"GET","/v1/status").parse_json(); return b["in_force_offset"],b["gateways"],b["folded_offset"],b["ready"],[(t["target"],t["health"],t["running"]) for t in b["targets"]]
try:
    for p in d.plan.processes: d.start_process(p.name)
    d.wait_ready([p.name for p in d.plan.processes])
    d.apply_documents(); time.sleep(3)
    print(st())
    d.pause(f"{A}-control"); time.sleep(5); d.resume(f"{A}-control"); t0=time.time()
    last=None
    while time.time()-t0<14:
        s=st()
        if s!=last: print(round(time.time()-t0,2),s,flush=True); last=s
        time.sleep(0.02)
    print([e for e in (d.folder/"history").glob("*control*")])
    print([l for l in (d.folder/"history"/f"{A}-control.jsonl").read_text().splitlines() if "in_force" in l])
    print(d.read_log(f"{A}-gateway")[-1500:]); print(d.read_log(f"{A}-control")[-2500:])
finally:
    d.close()
