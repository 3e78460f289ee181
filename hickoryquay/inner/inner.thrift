// The inner protocol: what entry instances say to each other. See docs/design/inner.md.
//
// Compatibility: fields are only added, always optional in meaning; an unknown body is answered with Unsupported. So two
// versions run side by side during a rolling upgrade.
//
// The code in gen/: thrift --gen cpp:moveable_types -out hickoryquay/inner/gen hickoryquay/inner/inner.thrift

namespace cpp hickoryquay.inner.wire

struct PeerAddress {
  1: string instance,
  2: string domain,
  3: string inner_address,
}

// Sent every heartbeat period to peers; answered with the receiver's own.
struct Heartbeat {
  1: string instance,
  2: string domain,
  3: i64 sequence,              // Rises with every heartbeat of one instance.
  4: bool leaving,
  5: i64 configuration_digest,  // Equal digests: the same documents in the same versions.
  6: i64 placer_epoch,          // Of the sender's failure domain, the highest it knows.
  7: string placer_holder,
  8: string placer_address,     // Inner address of the holder.
  9: string inner_address,      // Of the sender.
  10: bool joining,             // The sender knows few peers and asks for more.
  11: list<PeerAddress> known,  // In an answer to a joining instance only.
}

struct MarketDocument {
  1: string market,
  2: i64 version,
  3: string json,
  4: bool dropped,
  5: binary compressed,  // Instead of json: the same text, compressed with Zstandard.
}

// Asks for every document that is newer than the versions named, or not named.
struct ConfigurationPull {
  1: map<string, i64> versions,
  2: bool accepts_compressed,
}

struct ConfigurationDocuments {
  1: list<MarketDocument> documents,
}

// To the placer: the row of this job was written or marked as cancelled.
struct JobNotice {
  1: i64 job,
  2: bool cancelled,
}

// Any part of an instance's state as JSON; `what` names it.
struct StateQuery {
  1: string what,
  2: string argument,
}

struct StateAnswer {
  1: bool known,
  2: string json,
}

// A job reached another phase, and the row that says so is stored.
struct PhaseChange {
  1: i64 job,
  2: i32 phase,
}

// From the leader to every instance, some times a second and soon after a job ended; answered with Acknowledged.
struct LeaderBeat {
  1: string instance,
  2: i64 epoch,
  3: i64 sequence,              // Rises by one with every beat to one instance: a gap means that phases were missed.
  4: list<PhaseChange> phases,
  5: map<string, i32> pending,  // Accepted jobs of which nothing has started, by queue.
  6: bool ready,                // The leader has read all rows, so `pending` counts them.
  7: list<string> pass_on,      // Inner addresses of instances to which the receiver sends the same, without this list.
  8: bool released,             // The sender gave the leadership up: the last beat of its term.
  9: optional bool no_earlier_rows,  // No row of a job is in the part of versions before the sixteen parts.
  10: optional i64 job_bytes_held,   // Memory that the leader takes for jobs, and the most that it takes.
  11: optional i64 job_bytes_limit,
  12: optional i32 job_parts,        // Into which instances split what is left between two beats.
  13: optional map<string, i64> job_bytes_of_accounts,  // Of job_bytes_held, by client account; only large ones.
}

// A call to the platform's store for an instance that can't reach it; answered with StoreAnswer.
struct StoreCall {
  1: string method,
  2: string target,
  3: string body,
  4: i64 timeout_ms,
  5: optional i64 max_answer_bytes,  // Of a longer answer only that it is too long is of use.
}

struct StoreAnswer {
  1: i32 status,   // 0: the store gave no answer.
  2: string body,
  3: bool sent,    // Without an answer: the store may have got the call.
  4: optional bool too_long,  // The store's answer is longer than was asked for, or than a frame holds.
}

// From an instance that accepted a job to the leader, once the job's row is stored; answered with Acknowledged.
struct AcceptedJob {
  1: i64 job,
  2: string row,      // As stored.
  3: i64 version,     // Of the store after that.
}

// From an instance that stored a cancel to the leader, once its row is stored; answered with Acknowledged.
struct CancelledJob {
  1: i64 job,
  2: i64 version,  // Of the store after that.
}

struct Acknowledged {
}

struct Unsupported {
  1: i32 protocol,  // The highest that the answerer speaks.
}

union Body {
  1: Heartbeat heartbeat,
  2: ConfigurationPull configuration_pull,
  3: ConfigurationDocuments configuration_documents,
  4: JobNotice job_notice,
  5: StateQuery state_query,
  6: StateAnswer state_answer,
  7: Acknowledged acknowledged,
  8: Unsupported unsupported,
  9: LeaderBeat leader_beat,
  10: StoreCall store_call,
  11: StoreAnswer store_answer,
  12: AcceptedJob accepted_job,
  13: CancelledJob cancelled_job,
}

struct Envelope {
  1: i32 protocol,
  2: i64 id,     // Chosen by the caller; the answer carries the same.
  3: bool answer,
  4: Body body,
}
