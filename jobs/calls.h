#ifndef GODWITPADDLE_JOBS_CALLS_H_
#define GODWITPADDLE_JOBS_CALLS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jobs/commands.h"
#include "jobs/types.h"
#include "replication/messages.h"

/// Calls of clients, workers and operators, and the messages that carry them to the leader.
namespace godwitpaddle::jobs {

enum class JobCallKind : std::uint8_t { kSubmit, kQuery, kCancel };
inline constexpr EnumNames<3> kJobCallKindNames = {"submit", "query", "cancel"};

/// A client's call about a job, or about a queue if the path is the queue's prefix.
struct JobCall {
  JobCallKind kind = JobCallKind::kQuery;
  std::string host;
  std::string path;
  std::string key;
  JobSpec spec;  // of a kSubmit call
  MSGPACK_DEFINE(kind, host, path, key, spec)
};

/// Heartbeat of a worker.
struct HeartbeatCall {
  WorkerRecord record;
  std::uint64_t sequence = 0;  // increases within an incarnation
  std::int64_t clock_ms = 0;   // the worker's clock
  MSGPACK_DEFINE(record, sequence, clock_ms)
};

/// Announces that a worker shuts down as planned.
struct LeaveCall {
  WorkerId worker;
  MSGPACK_DEFINE(worker)
};

/// An operator's call to put a configuration in force.
struct ConfigureCall {
  Configuration configuration;
  MSGPACK_DEFINE(configuration)
};

/// Requests the configuration in force.
struct ReadConfigurationCall {
  std::uint8_t unused = 0;  // MSGPACK_DEFINE needs at least one member
  MSGPACK_DEFINE(unused)
};

/// Keeps tasks out of an availability zone, or takes the zone back into use.
struct EvacuationCall {
  std::string zone;
  bool evacuated = false;
  MSGPACK_DEFINE(zone, evacuated)
};

/// Starts a maintenance wave.
struct WaveCall {
  StartWave wave;
  MSGPACK_DEFINE(wave)
};

/// Requests the phase of a maintenance wave.
struct WaveQueryCall {
  WaveId wave = 0;
  MSGPACK_DEFINE(wave)
};

using Call = std::variant<JobCall, HeartbeatCall, LeaveCall, ConfigureCall, ReadConfigurationCall,
                          WaveCall, WaveQueryCall, EvacuationCall>;

enum class AnswerCode : std::uint8_t {
  kOk,
  kInvalid,
  kBadKey,
  kNoQueue,
  kNoSuchJob,    // the job does not exist
  kOverloaded,   // refused because of overload; will never be executed
  kUnavailable,  // refused: no leader can answer with certainty; will never be executed
  kUnknown,      // the call may have been executed or may still be
};
inline constexpr EnumNames<8> kAnswerCodeNames = {"ok",   "invalid", "bad_key",     "no_queue",
                                                  "gone", "busy",    "unavailable", "unknown"};

/// Content of an answer with kOk.
enum class AnswerContent : std::uint8_t {
  kNothing,
  kJobPhase,
  kPending,
  kConfiguration,
  kWavePhase
};

struct Answer {
  AnswerCode code = AnswerCode::kOk;
  AnswerContent content = AnswerContent::kNothing;
  std::string text;  // a phase, the configuration document or an error message
  std::uint64_t number = 0;
  std::int64_t retry_after_s = 0;
  MSGPACK_DEFINE(code, content, text, number, retry_after_s)
};

// ---- between nodes ----

/// Asks a core node for the leader.
struct LeaderQuery {
  std::string reply_address;
  /// Identifies the sender's process if it relays orders to workers, see OrderBatch; 0: it does
  /// not, as a node of an earlier version, which does not send this field.
  std::uint64_t relay_session = 0;
  Micros relay_time = 0;  // on the sender's monotonic clock
  MSGPACK_DEFINE(reply_address, relay_session, relay_time)
};

struct LeaderInfo {
  std::string sender_address;
  bool serving = false;  // the sender leads, holds its lease and has all committed commands
  replication::Term term = 0;
  std::string leader_address;          // according to the sender; empty if unknown
  std::vector<std::string> addresses;  // of the core nodes
  MSGPACK_DEFINE(sender_address, serving, term, leader_address, addresses)
};

/// One call for the leader of `term`. A leader of another term does not execute it: a delayed frame
/// must not be accepted after another leader has refused the call.
struct CallRequest {
  std::uint64_t id = 0;
  std::string reply_address;
  replication::Term term = 0;
  Call call;
  /// The gateway has sent the call to the leader of an earlier term, which may have executed it.
  /// Gateways of earlier versions do not say so.
  bool repeated = false;
  MSGPACK_DEFINE(id, reply_address, term, call, repeated)
};

struct CallReply {
  std::uint64_t id = 0;
  replication::Term term = 0;
  bool handled = true;  // false: the receiver is not the leader of `term`
  Answer answer;
  MSGPACK_DEFINE(id, term, handled, answer)
};

}  // namespace godwitpaddle::jobs

MSGPACK_ADD_ENUM(godwitpaddle::jobs::JobCallKind)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::AnswerCode)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::AnswerContent)

#endif  // GODWITPADDLE_JOBS_CALLS_H_
