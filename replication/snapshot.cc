#include <algorithm>
#include <utility>

#include "replication/replica_impl.h"

namespace godwitpaddle::replication {
namespace {

/// Limit in bytes of the entries kept before a snapshot for members that are slightly behind.
constexpr std::size_t kTailBytes = std::size_t{4} * 1024 * 1024;

}  // namespace

void Replica::Impl::Compact(Index index, std::string state) {
  if (index > commit || (snapshot && index <= snapshot->index) || index <= log.base()) return;
  snapshot = std::make_shared<const Snapshot>(Snapshot{.index = index,
                                                       .term = log.TermAt(index).value(),
                                                       .membership = log.MembershipAt(index),
                                                       .state = std::move(state)});
  disk.QueueSnapshot(snapshot);
  log.DropThrough(TailStart(index));
  next_snapshot_at = std::max(next_snapshot_at, index + SnapshotInterval());
}

Index Replica::Impl::SnapshotInterval() const {
  const std::size_t per_entry = options.snapshot_bytes_per_entry;
  if (!snapshot || per_entry == 0) return options.snapshot_every;
  return std::max<Index>(options.snapshot_every, snapshot->state.size() / per_entry);
}

std::size_t Replica::Impl::MaxLogBytes() const {
  return std::max(kMaxLogBytes, snapshot ? snapshot->state.size() : 0);
}

Index Replica::Impl::TailStart(Index snapshot_index) const {
  Index start = snapshot_index;
  std::size_t bytes = 0;
  while (start > log.base() && snapshot_index - start < options.snapshot_every / 2) {
    bytes += SizeOf(log.At(start));
    if (bytes > kTailBytes) break;
    --start;
  }
  // A member that is receiving an older snapshot needs the entries after that snapshot next. They
  // are kept unless the snapshot is more than two snapshot intervals old.
  for (const auto& [id, peer] : progress) {
    if (!peer.snapshot || peer.snapshot->index + 2 * options.snapshot_every < snapshot_index) {
      continue;
    }
    start = std::min(start, peer.snapshot->index);
  }
  start = std::max(start, log.base());
  return std::max(start, FirstKept(snapshot_index));
}

Index Replica::Impl::FirstKept(Index snapshot_index) const {
  Index start = snapshot_index;
  std::size_t bytes = 0;
  while (start > log.base()) {
    bytes += SizeOf(log.At(start));
    if (bytes > MaxLogBytes()) break;
    --start;
  }
  return start;
}

void Replica::Impl::StartSnapshot(const ReplicaId& id, Progress& peer) {
  peer.Probe(peer.next);
  peer.mode = SendMode::kSnapshot;
  peer.snapshot = snapshot;
  peer.snapshot_acked = 0;
  peer.snapshot_sent = 0;
  peer.snapshot_updated_at = now;
  SendChunks(id, peer);
}

void Replica::Impl::SendChunks(const ReplicaId& id, Progress& peer) {
  const std::string& bytes = peer.snapshot->state;
  const std::size_t end = std::min(bytes.size(), peer.snapshot_acked + kSnapshotWindowBytes);
  while (peer.snapshot_sent < end || bytes.empty()) {
    SnapshotChunk chunk{.term = term,
                        .index = peer.snapshot->index,
                        .snapshot_term = peer.snapshot->term,
                        .offset = peer.snapshot_sent,
                        .data = bytes.substr(peer.snapshot_sent, kSnapshotChunkBytes),
                        .sent = now};
    if (chunk.offset == 0) chunk.membership = peer.snapshot->membership;
    peer.snapshot_sent += chunk.data.size();
    chunk.last = peer.snapshot_sent == bytes.size();
    Send(id, peer.address, std::move(chunk));
    if (bytes.empty()) break;
  }
}

void Replica::Impl::OnSnapshotReply(const ReplicaId& from, const SnapshotReply& reply) {
  Progress* peer = RecordReply(from, reply.term, reply.sent);
  if (peer == nullptr || reply.index > log.last_index()) return;
  if (reply.installed) {
    if (peer->mode == SendMode::kSnapshot && reply.index >= peer->snapshot->index) {
      peer->Probe(reply.index + 1);
      peer->mode = SendMode::kReplicate;
    }
    peer->Acknowledge(reply.index);
    UpdateCommit();
    const auto it = progress.find(from);
    if (it != progress.end()) SendEntries(from, it->second);
    return;
  }
  if (peer->mode != SendMode::kSnapshot || reply.index != peer->snapshot->index) return;
  const auto received = std::min<std::size_t>(reply.received, peer->snapshot->state.size());
  if (received > peer->snapshot_acked) {
    peer->snapshot_acked = received;
    peer->snapshot_sent = std::max(peer->snapshot_sent, received);
  } else if (received < peer->snapshot_acked && reply.sent >= peer->snapshot_updated_at) {
    // The receiver restarted and lost the chunks that it had received.
    peer->snapshot_acked = peer->snapshot_sent = received;
  } else {
    return;
  }
  peer->snapshot_updated_at = now;
  if (!peer->snapshot->state.empty()) SendChunks(from, *peer);
}

void Replica::Impl::OnSnapshotChunk(const ReplicaId& from, const SnapshotChunk& chunk) {
  if (!AcceptLeader(from, chunk.term)) return;
  SnapshotReply reply{.term = term, .index = chunk.index, .sent = chunk.sent};
  if (chunk.index <= commit) {
    verified_match = std::max(verified_match, chunk.index);
    reply.installed = true;
    return SendOnceDurable(from, LeaderAddress(from), reply);
  }
  if (!incoming || incoming->from != from || incoming->snapshot.index != chunk.index) {
    if (chunk.offset != 0) return Send(from, LeaderAddress(from), reply);
    incoming = IncomingSnapshot{
        from, {.index = chunk.index, .term = chunk.snapshot_term, .membership = chunk.membership}};
  }
  std::string& bytes = incoming->snapshot.state;
  if (chunk.offset == bytes.size()) {
    bytes += chunk.data;
    if (chunk.last) {
      Install(std::exchange(incoming, std::nullopt)->snapshot);
      reply.installed = true;
      return SendOnceDurable(from, LeaderAddress(from), reply);
    }
  }
  reply.received = bytes.size();
  Send(from, LeaderAddress(from), reply);
}

void Replica::Impl::Install(Snapshot received) {
  verified_match = std::max(verified_match, received.index);
  if (log.TermAt(received.index) == received.term) return AdvanceCommit(received.index);
  log.Reset(received.index, received.term, received.membership);
  snapshot = std::make_shared<const Snapshot>(std::move(received));
  disk.QueueInstall(snapshot, commit);
  commit = snapshot->index;
  next_snapshot_at = commit + SnapshotInterval();
  bytes_since_snapshot = 0;
  out->committed.clear();
  out->install = *snapshot;
}

}  // namespace godwitpaddle::replication
