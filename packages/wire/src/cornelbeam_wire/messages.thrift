// Messages between cornelbeam daemons. `make messages` regenerates gen/.

struct LoadReport {
  1: required i32 in_flight
  2: required i32 limit
  3: required i32 queue_length
  4: required i32 service_time_us
  5: required bool is_leaving
  6: optional i32 wait_ms
  7: optional i32 slowdown_percent
  // Wait that the stated rate asks for, if another target has room.
  8: optional i32 paced_wait_ms
}

struct Hello {
  1: required string name
  2: required string service_name
  3: required string domain
  4: required i64 incarnation
  5: required i32 protocol_version
  6: required binary nonce
  7: required binary proof
  8: required string address
  // This daemon asks for the body of a call that its peer holds back.
  9: optional bool has_body_grants
}

// Header names and values alternate in `headers`.
struct CallStart {
  1: required binary attempt_id
  2: required i64 target_incarnation
  3: required string service_name
  4: required binary method
  5: required binary path
  6: required list<binary> headers
  7: required i32 remaining_ms
  8: required bool is_repeatable
  9: required string caller
  10: required i32 hop_count
  11: required binary body
  12: required bool is_complete
  13: required string request_id
  14: optional i32 priority
  15: optional bool is_nested
  16: optional bool is_repeat
  17: optional i32 patience_ms
  18: optional i32 objective_ms
  19: optional string route
  // The body follows after a `Credit`; until then the stream has none.
  20: optional bool is_body_held
  // No other target of the service has room.
  21: optional bool is_last_resort
  // Identifies repetitions of the same request, whatever their attempt ids.
  22: optional binary fingerprint
  // A target broke off while it ran this request.
  23: optional bool is_suspect
  // Name of the tenant whose request it is.
  24: optional string tenant
}

struct BodyPart {
  1: required binary content
  2: required bool is_last
}

struct AnswerStart {
  1: required i32 status
  2: required list<binary> headers
  3: required binary body
  4: required bool is_complete
  5: required LoadReport load
}

struct Refusal {
  1: required string code
  2: required i32 run_state
  3: required i32 retry_after_ms
  4: required string step
  5: required string peer
  6: optional LoadReport load
  7: required string detail
}

struct Cancel {
  1: required string reason
}

struct Credit {
  1: required i32 size_bytes
}

struct OutcomeQuery {
  1: required binary attempt_id
  2: required i64 target_incarnation
  3: required bool is_forbidding
  4: required i32 remaining_ms
}

struct OutcomeReply {
  1: required i32 run_state
  2: required bool is_answer_kept
}

struct MemberUpdate {
  1: required string name
  2: required string service_name
  3: required string domain
  4: required string address
  5: required i64 incarnation
  6: required i32 state
  7: required i32 refutation
  8: required map<string, string> labels
}

struct Ping {
  1: required list<MemberUpdate> updates
  2: required i64 revision
  3: required string service_name
}

struct Ack {
  1: required list<MemberUpdate> updates
  2: required i64 revision
  3: required string name
  4: required i64 incarnation
}

struct IndirectPing {
  1: required string name
  2: required string address
}

struct ViewRequest {
  1: required string service_name
  2: required string digest
  3: required i64 revision
}

struct ViewReply {
  1: required string service_name
  2: required bool is_unchanged
  3: required list<MemberUpdate> members
  4: required string digest
  5: required i64 revision
}

struct ConfigObject {
  1: required string kind
  2: required string name
  3: required i64 version
  4: required i64 revision
  5: required bool is_deleted
  6: required binary spec
}

// Holds every object whose last write has a revision above since_revision and
// not above up_to_revision.
struct ConfigPush {
  1: required list<ConfigObject> objects
  2: required i64 since_revision
  3: required i64 up_to_revision
  4: required bool has_more
}

struct ConfigPull {
  1: required i64 since_revision
  // Asks only for the entry of the receiving daemon itself.
  2: optional bool is_own_entry_only
  // Asks for no entries of members.
  3: optional bool is_without_members
}

struct ProbeRequest {
  1: required string caller
}

struct ProbeReply {
  1: required bool is_healthy
  2: required i32 age_ms
  3: required LoadReport load
}

struct QuarantinedRequest {
  1: required binary fingerprint
  2: required i32 remaining_ms
  3: required i32 strike_count
}

// What crashes and answers of targets have shown; `crash` may be empty.
struct CrashReport {
  1: required string crash
  2: required list<binary> suspects
  3: required list<QuarantinedRequest> quarantined
  // Suspects that a target has answered.
  4: required list<binary> cleared
}

struct QuarantinePull {
  1: required string service_name
}

// Asks how old the receiver's proof is that its configuration is the newest.
struct ConfigurationAgeQuery {
}

struct ConfigurationAge {
  // Position in the store of the configuration that the proof is for.
  1: required i64 position
  // Absent without a proof.
  2: optional i32 age_ms
}

// Asks the daemon that holds a share of a tenant's quota for tokens.
struct QuotaRequest {
  1: required string tenant
  2: required i32 count
}

struct QuotaGrant {
  1: required i32 count
  // Time until the next token, if fewer were granted than asked for.
  2: optional i32 wait_ms
}

// Asks the daemon beside a target what it has counted since an order, and says
// how much of the traffic its target may get.
struct RolloutQuery {
  1: required string service_name
  2: required string order_key
  // Increases with each query, also from one owner of the order to the next.
  3: required i64 number
  4: required i32 phase
  // Requests that the target may get in all, if it has the new version.
  5: required i32 granted_count
  // The sender can't write progress, so another daemon should take over.
  6: optional bool is_store_lost
}

struct RolloutRouteCounts {
  1: required string route
  2: required i32 request_count
  3: required i32 failure_count
  // Buckets of durations and numbers of answers in them alternate.
  4: required list<i32> durations
}

struct RolloutCounts {
  1: required string order_key
  2: required string version
  3: required i32 phase
  4: required i32 granted_count
  5: required i32 request_count
  6: required i32 in_flight_count
  7: required list<RolloutRouteCounts> routes
  // Whether the target accepts requests, apart from the rollout.
  8: optional bool is_open
}

struct Frame {
  1: required i32 stream_id
  2: optional Hello hello
  3: optional CallStart call_start
  4: optional BodyPart body_part
  5: optional AnswerStart answer_start
  6: optional Refusal refusal
  7: optional Cancel cancel
  8: optional Credit credit
  9: optional OutcomeQuery outcome_query
  10: optional OutcomeReply outcome_reply
  11: optional Ping ping
  12: optional Ack ack
  13: optional IndirectPing indirect_ping
  14: optional ViewRequest view_request
  15: optional ViewReply view_reply
  16: optional ConfigPush config_push
  17: optional ConfigPull config_pull
  18: optional ProbeRequest probe_request
  19: optional ProbeReply probe_reply
  // Newest position in the store that the sender holds, if it has changed since
  // the last frame on this connection.
  20: optional i64 revision
  21: optional CrashReport crash_report
  22: optional QuarantinePull quarantine_pull
  23: optional ConfigurationAgeQuery configuration_age_query
  24: optional ConfigurationAge configuration_age
  25: optional QuotaRequest quota_request
  26: optional QuotaGrant quota_grant
  40: optional RolloutQuery rollout_query
  41: optional RolloutCounts rollout_counts
}
