// What a build of 866e3a2 writes for the values in compatibility_samples.h. Recorded from it; not to be changed.
#pragma once

namespace hickoryquay::service::recorded {

struct Record {
  const char* m_name;
  const char* m_bytes;
};

// Texts of rows.
constexpr Record kRows[] = {
    {"full job", R"({"queue":"q1","account":"alice","accepted_ms":1699999999000,"pool":"pool","priority":1,"max_attemp)"
                 R"(ts":3,"stretch":2.5E0,"objective_ms":4000,"payload":"work \"quoted\"\n","steps":[{"tasks":40,"acce)"
                 R"(lerators":2,"millicores":1500,"memory_mb":4096,"estimate_ms":30000,"checkpoints":true,"speculative)"
                 R"(":true,"label":"fast","data_rack":"r1","max_per_worker":3,"image":"image-1"},{"tasks":4,"after":[0)"
                 R"(],"gang":true,"rack_local":true},{"after":[0,1],"lasts":true,"fills":true,"latency_target_ms":25,")"
                 R"(max_unavailable":1}],"repeats":5,"first_due_ms":1700000000000,"interval_ms":60000})"},
    {"plain job",
     R"({"queue":"q0","account":"bob","accepted_ms":0,"pool":"pool","priority":0,"max_attempts":1,"stretch)"
     R"(":1E0,"objective_ms":0,"payload":"","steps":[{}]})"},
    {"full step",
     R"({"units":[{"first":7,"run":4,"failed":[1,3],"crashes":[[1,0,true],[3,0,false]],"checkpoint":"check)"
     R"(point-9","on":[["w3","10.0.0.9:80"]]},{"first":8,"run":2,"done":true,"failed":[1]},{"first":9,"run)"
     R"(":2,"checkpoint":"checkpoint-2"}],"done":[0,2,1,3,3,2],"placed":[["w1","10.0.0.7:80",4,1,5,1],["w2)"
     R"(","10.0.0.8:80",6,1]],"started":{"w1":1699999000000,"w3":1699999500000}})"},
    {"split step",
     R"({"units":[],"done":[32,32,1],"placed":[["w1","10.0.0.7:80",33,1]],"started":{"w1":1699999000000}})"},
    {"gang step",
     R"({"units":[{"run":2,"on":[["w1","10.0.0.7:80"],[],["w2","10.0.0.8:80"]]}],"started":{"w1":169999900)"
     R"(0000}})"},
    {"leader", R"({"epoch":7,"node":"node-1","holder":"node-1-0a1b2c3d","address":"10.0.0.1:7003","write":123456})"},
    {"released leader",
     R"({"epoch":7,"node":"node-1","holder":"node-1-0a1b2c3d","address":"10.0.0.1:7003","write":123456,"re)"
     R"(leased":true})"},
    {"queued", R"({"phase":"queued","since_ms":1699999999500})"},
    {"running", R"({"phase":"running","since_ms":1699999999500})"},
    {"completed", R"({"phase":"completed","since_ms":1699999999500})"},
    {"failed", R"({"phase":"failed","since_ms":1699999999500})"},
    {"cancelled", R"({"phase":"cancelled","since_ms":1699999999500})"}};

// The row of an instance on the machine node-1 with a share of 0.25 and a link of 20 Mbit/s.
constexpr const char* kMember =
    R"({"instance":"node-1-4777c457","domain":"d1","inner":"127.0.0.1:7003","fitness":5E0})";

// Of the cancel of the full job: part, key and text.
constexpr const char* kCancel[] = {"intake-15", "c/000000000000001f", "{}"};

// Frames with the length in front, in hexadecimal digits. Each has the id 77 and is no answer.
constexpr Record kMessages[] = {
    {"heartbeat",
     "000000821502169a01121c1c180f6e6f64652d312d30613162326333641802643116541116e1a2f3ad071606180f6e6f6465"
     "2d332d3232323232323232180d31302e302e302e333a37303033180d31302e302e302e313a3730303311191c180f6e6f6465"
     "2d322d313131313131313118026432180d31302e302e302e323a3730303300000000"},
    {"pull", "000000241502169a01121c2c1b02860b65766163756174696f6e7308067175657565731611000000"},
    {"documents",
     "000000461502169a01121c3c192c18067175657565731618180e7b2276657273696f6e223a31327d12180000180b65766163"
     "756174696f6e73161a180011180628b52ffd000100000000"},
    {"notice", "0000000e1502169a01121c4c163e11000000"},
    {"query", "000000171502169a01121c5c180570656572731803616c6c000000"},
    {"state", "000000101502169a01121c6c1118027b7d000000"},
    {"acknowledged", "0000000b1502169a01121c7c000000"},
    {"unsupported", "0000000d1502169a01121c8c1502000000"},
    {"leader beat",
     "000000531502169a01121c9c180f6e6f64652d312d3061316232633364160e16c601191c163e1504001b0285027130060271"
     "31001119280d31302e302e302e323a373030330d31302e302e302e333a3730303311000000"},
    {"store call", "000000291502169a01121cac1804504f535418062f76312f7478180b7b2270757473223a5b5d7d168827000000"},
    {"store answer", "0000001a1502169a01121cbc15900318097b22766572223a397d11000000"},
    {"accepted job",
     "000000a61502169a01121ccc16401893017b227175657565223a227130222c226163636f756e74223a22626f62222c226163"
     "6365707465645f6d73223a302c22706f6f6c223a22706f6f6c222c227072696f72697479223a302c226d61785f617474656d"
     "707473223a312c2273747265746368223a3145302c226f626a6563746976655f6d73223a302c227061796c6f6164223a2222"
     "2c227374657073223a5b7b7d5d7d16a413000000"}};

// deploy/node.ini of 866e3a2, filled in.
constexpr const char* kSettings =
    R"(# Settings of an instance; the platform fills in its values. What it does not know stays at its default.

[node]
name = node-1
domain = d1
callers = 127.0.0.1:17000
ready = 127.0.0.1:17001
inner = 127.0.0.1:17003
metrics = 127.0.0.1:17010
seeds = 127.0.0.1:17003, 127.0.0.2:17003
grace = 4.5s

[store]
address = 127.0.0.1:1

[capacity]
processor_share = 0.25
link_mbit_s = 20.0

[machines]
address = 127.0.0.1:2

[terms]
longest_lease = 5000ms
stop_timeout = 900ms
reclaim = 2600ms
restore = 240ms
keep_ended = 110s
evacuate = 4900ms
remote_factor = 2.5

[log]
form = json
# Lines a second of one part; more are counted and left out.
repeats = 1000
)";

}  // namespace hickoryquay::service::recorded
