#ifndef GODWITPADDLE_REPLICATION_MESSAGES_H_
#define GODWITPADDLE_REPLICATION_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/codec.h"

namespace godwitpaddle::replication {

/// Random id of a data folder. A replica without a disk gets a new one at each start of its
/// process.
using ReplicaId = std::string;
using Index = std::uint64_t;
using Term = std::uint64_t;

enum class Role : std::uint8_t { kVoter, kLearner };

/// One member of the replicated group.
struct Member {
  std::string node;
  std::string zone;
  std::string address;  // "ip:port" at which the node receives frames of other nodes
  Role role = Role::kLearner;
  bool has_disk = false;
  MSGPACK_DEFINE(node, zone, address, role, has_disk)
};

using Membership = std::map<ReplicaId, Member>;

enum class EntryKind : std::uint8_t { kNoop, kCommand, kMembership };

/// One log entry. The payload of a kMembership entry is an encoded Membership.
struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string payload;
  MSGPACK_DEFINE(term, index, kind, payload)
};

/// The applied state after the entry at `index`, with the membership in force there.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string state;
  MSGPACK_DEFINE(index, term, membership, state)
};

/// Asks for a vote in `term`. A pre-vote asks whether the receiver would grant the vote; it changes
/// no state of the receiver.
struct VoteRequest {
  Term term = 0;
  bool pre_vote = false;
  Index last_index = 0;
  Term last_term = 0;
  std::string address;  // of the candidate, which may not be in the voter's membership yet
  /// The leader requested this election and has given up its lease.
  bool leadership_transfer = false;
  MSGPACK_DEFINE(term, pre_vote, last_index, last_term, address, leadership_transfer)
};

struct VoteReply {
  Term term = 0;
  bool pre_vote = false;
  bool granted = false;
  ReplicaId candidate;  // to which the reply is sent; another replica may have its address now
  MSGPACK_DEFINE(term, pre_vote, granted, candidate)
};

/// Entries from the leader; a heartbeat when it carries none. `sent` is the reading of the leader's
/// clock in microseconds, which the reply returns unchanged.
struct AppendRequest {
  Term term = 0;
  Index previous_index = 0;
  Term previous_term = 0;
  Index commit = 0;
  std::int64_t sent = 0;
  std::vector<Entry> entries;
  std::string address;  // of the leader, for a member without a membership; else empty
  MSGPACK_DEFINE(term, previous_index, previous_term, commit, sent, entries, address)
};

struct AppendReply {
  Term term = 0;
  bool success = false;
  Index match = 0;  // success: durable up to here; else the index after which to retry
  std::int64_t sent = 0;
  MSGPACK_DEFINE(term, success, match, sent)
};

/// One chunk of a snapshot; the chunk at offset 0 carries the snapshot's membership. `last` marks
/// the chunk that ends the state.
struct SnapshotChunk {
  Term term = 0;
  Index index = 0;
  Term snapshot_term = 0;
  Membership membership;
  std::uint64_t offset = 0;
  bool last = false;
  std::string data;
  std::int64_t sent = 0;
  MSGPACK_DEFINE(term, index, snapshot_term, membership, offset, last, data, sent)
};

/// `received`: bytes of the state that the receiver has. `installed`: the receiver's log and state
/// include the snapshot.
struct SnapshotReply {
  Term term = 0;
  Index index = 0;
  std::uint64_t received = 0;
  bool installed = false;
  std::int64_t sent = 0;
  MSGPACK_DEFINE(term, index, received, installed, sent)
};

/// Sent by a leader that is shutting down: the receiver starts an election at once.
struct TimeoutNow {
  Term term = 0;
  MSGPACK_DEFINE(term)
};

using Message = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk,
                             SnapshotReply, TimeoutNow>;

}  // namespace godwitpaddle::replication

MSGPACK_ADD_ENUM(godwitpaddle::replication::Role)
MSGPACK_ADD_ENUM(godwitpaddle::replication::EntryKind)

#endif  // GODWITPADDLE_REPLICATION_MESSAGES_H_
