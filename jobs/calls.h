#ifndef GODWITPADDLE_JOBS_CALLS_H_
#define GODWITPADDLE_JOBS_CALLS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jobs/commands.h"
#include "jobs/types.h"
#include "replication/messages.h"

/// What clients, workers and operators ask, and the messages that carry it to the leader.
namespace godwitpaddle::jobs {

enum class JobCallKind : std::uint8_t { kSubmit, kQuery, kCancel };
inline constexpr EnumNames<3> kJobCallKindNames = {"submit", "query", "cancel"};

/// A client's call about a job, or about a queue when the path ends with the queue's prefix.
struct JobCall {
  JobCallKind kind = JobCallKind::kQuery;
  std::string host;
  std::string path;
  std::string key;
  JobSpec spec;  // of a submit
  MSGPACK_DEFINE(kind, host, path, key, spec)
};

/// A worker reports itself.
struct HeartbeatCall {
  WorkerRecord record;
  std::uint64_t sequence = 0;  // grows within an incarnation
  std::int64_t clock_ms = 0;   // the worker's own clock
  MSGPACK_DEFINE(record, sequence, clock_ms)
};

/// A worker ends as planned.
struct LeaveCall {
  WorkerId worker;
  MSGPACK_DEFINE(worker)
};

struct ConfigureCall {
  Configuration configuration;
  MSGPACK_DEFINE(configuration)
};

struct ReadConfigurationCall {
  std::uint8_t unused = 0;  // msgpack needs a member
  MSGPACK_DEFINE(unused)
};

struct WaveCall {
  StartWave wave;
  MSGPACK_DEFINE(wave)
};

struct WaveQueryCall {
  WaveId wave = 0;
  MSGPACK_DEFINE(wave)
};

using Call = std::variant<JobCall, HeartbeatCall, LeaveCall, ConfigureCall, ReadConfigurationCall,
                          WaveCall, WaveQueryCall>;

enum class AnswerCode : std::uint8_t {
  kOk,
  kInvalid,
  kBadKey,
  kNoQueue,
  kNoSuchJob,    // no such job
  kOverloaded,   // refused for load; has not run and never will
  kUnavailable,  // refused for want of a leader or of certainty; has not run and never will
  kUnknown,      // the outcome is not known
};
inline constexpr EnumNames<8> kAnswerCodeNames = {"ok",   "invalid", "bad_key",     "no_queue",
                                                  "gone", "busy",    "unavailable", "unknown"};

/// What an answer with kOk carries.
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
  std::string text;  // phase, document, or what is wrong
  std::uint64_t number = 0;
  std::int64_t retry_after_s = 0;
  MSGPACK_DEFINE(code, content, text, number, retry_after_s)
};

// ---- between nodes ----

/// Asks a core node who leads.
struct LeaderQuery {
  std::string reply_address;
  MSGPACK_DEFINE(reply_address)
};

struct LeaderInfo {
  std::string sender_address;
  bool serving = false;  // the sender leads, holds its lease and knows all that was committed
  replication::Term term = 0;
  std::string leader_address;          // as the sender believes; may be empty
  std::vector<std::string> addresses;  // of the core nodes
  MSGPACK_DEFINE(sender_address, serving, term, leader_address, addresses)
};

/// One call for the leader of `term`. A leader of another term does not touch it, so that a frame
/// which was held up cannot be accepted after the call was refused elsewhere.
struct CallRequest {
  std::uint64_t id = 0;
  std::string reply_address;
  replication::Term term = 0;
  Call call;
  MSGPACK_DEFINE(id, reply_address, term, call)
};

struct CallReply {
  std::uint64_t id = 0;
  replication::Term term = 0;
  bool handled = true;  // false: the receiver does not lead `term`
  Answer answer;
  MSGPACK_DEFINE(id, term, handled, answer)
};

}  // namespace godwitpaddle::jobs

MSGPACK_ADD_ENUM(godwitpaddle::jobs::JobCallKind)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::AnswerCode)
MSGPACK_ADD_ENUM(godwitpaddle::jobs::AnswerContent)

#endif  // GODWITPADDLE_JOBS_CALLS_H_
