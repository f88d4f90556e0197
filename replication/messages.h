#ifndef GODWITPADDLE_REPLICATION_MESSAGES_H_
#define GODWITPADDLE_REPLICATION_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/codec.h"

namespace godwitpaddle::replication {

/// Random identity of one data folder, or of one life of a diskless replica.
using ReplicaId = std::string;
using Index = std::uint64_t;
using Term = std::uint64_t;

enum class Role : std::uint8_t { kVoter, kLearner };

/// One member of the group.
struct Member {
  std::string node;
  std::string zone;
  std::string address;  // "ip:port" for frames between nodes
  Role role = Role::kLearner;
  bool has_disk = false;
  MSGPACK_DEFINE(node, zone, address, role, has_disk)
};

using Membership = std::map<ReplicaId, Member>;

enum class EntryKind : std::uint8_t { kNoop, kCommand, kMembership };

/// One record of the log. The payload of kMembership is an encoded Membership.
struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string payload;
  MSGPACK_DEFINE(term, index, kind, payload)
};

/// State at `index`, with the membership in force there.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string state;
  MSGPACK_DEFINE(index, term, membership, state)
};

struct VoteRequest {
  Term term = 0;
  bool pre_vote = false;
  Index last_index = 0;
  Term last_term = 0;
  std::string address;  // of the candidate, which the voter may not know as a member yet
  bool leadership_transfer =
      false;  // the leader asked for this election and vouches for nothing any more
  MSGPACK_DEFINE(term, pre_vote, last_index, last_term, address, leadership_transfer)
};

struct VoteReply {
  Term term = 0;
  bool pre_vote = false;
  bool granted = false;
  ReplicaId candidate;  // an address may belong to another replica by now
  MSGPACK_DEFINE(term, pre_vote, granted, candidate)
};

/// Also the heartbeat when it carries no entries. `sent` is the leader's clock and comes back in
/// the reply.
struct AppendRequest {
  Term term = 0;
  Index previous_index = 0;
  Term previous_term = 0;
  Index commit = 0;
  std::int64_t sent = 0;
  std::vector<Entry> entries;
  std::string address;  // of the leader, for a member that has no membership yet; else empty
  MSGPACK_DEFINE(term, previous_index, previous_term, commit, sent, entries, address)
};

struct AppendReply {
  Term term = 0;
  bool success = false;
  Index match = 0;  // success: durable up to here; else a hint where to go on
  std::int64_t sent = 0;
  MSGPACK_DEFINE(term, success, match, sent)
};

/// One chunk of a snapshot.
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

struct SnapshotReply {
  Term term = 0;
  Index index = 0;
  std::uint64_t received = 0;
  bool installed = false;
  std::int64_t sent = 0;
  MSGPACK_DEFINE(term, index, received, installed, sent)
};

/// A leader that stops asks the receiver to stand for election at once.
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
