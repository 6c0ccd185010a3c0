#include "fuchsiadrum/membership/membership_agent.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::membership {

MembershipAgent::MembershipAgent(MembershipOptions options)
    : options(std::move(options)) {
  for (const VmInfo& info : this->options.configured_peers) {
    if (info.ref.vm == this->options.self.ref.vm) continue;
    Peer& peer = this->peers[info.ref.vm];
    peer.info = info;
    peer.configured = true;
  }
}

void MembershipAgent::OnMessage(TimePoint now, const VmRef& from,
                                const pb::PeerMessage& message, Outbox& out) {
  this->Advance(now);
  if (from.vm == this->options.self.ref.vm) return;

  // Any message is a sign of life.
  Peer* const peer = this->Note(from);
  if (peer == nullptr) return;
  if (message.has_heartbeat()) {
    this->OnHeartbeat(from, message.heartbeat(), out);
  }
  this->UpdateAlive();
}

void MembershipAgent::OnTick(TimePoint now, Outbox& out) {
  this->Advance(now);
  this->hints.Expire(this->awake);
  this->UpdateAlive();

  const bool due = !this->last_sent ||
                   this->awake - *this->last_sent >= this->options.heartbeat;
  if (due) this->SendAll(out);
}

void MembershipAgent::BeginDrain(TimePoint now, Outbox& out) {
  this->Advance(now);
  this->draining = true;
  this->SendAll(out);
}

std::optional<Duration> MembershipAgent::SilentFor(TimePoint now,
                                                   const VmRef& peer) const {
  const auto found = this->peers.find(peer.vm);
  if (found == this->peers.end() || !found->second.heard) return std::nullopt;

  const uint64_t present = found->second.info.ref.incarnation;
  if (peer.incarnation < present) return Duration::max();
  if (peer.incarnation > present) return std::nullopt;
  return this->awake + this->StepTo(now) - found->second.last_heard;
}

void MembershipAgent::OnVmList(TimePoint now,
                               const std::vector<ListedPeer>& vms) {
  this->Advance(now);
  for (auto& [name, peer] : this->peers) {
    peer.listed = false;
    peer.leaving = false;
  }

  for (const ListedPeer& vm : vms) {
    if (vm.name.empty() || vm.name == this->options.self.ref.vm) continue;
    Peer& peer = this->peers[vm.name];
    peer.info.ref.vm = vm.name;
    peer.listed = true;
    peer.leaving = vm.leaving;
  }

  // A VM that is neither listed, configured nor heard is gone.
  std::erase_if(this->peers, [&](const auto& item) {
    const Peer& peer = item.second;
    return !peer.listed && !peer.configured && !this->IsAlive(peer);
  });
  this->UpdateAlive();
}

void MembershipAgent::NoteLeaving(TimePoint now, std::string_view upstream,
                                  Outbox& out) {
  this->Advance(now);
  if (this->hints.NoteOwn(this->awake, upstream)) this->SendAll(out);
}

std::vector<VmRef> MembershipAgent::PeerSet() const {
  struct Candidate {
    uint64_t order;
    const Peer* peer;
  };
  std::vector<Candidate> own_zone;
  std::vector<Candidate> others;
  for (const auto& [name, peer] : this->peers) {
    const uint64_t order = Hash64(name, Hash64(this->options.self.ref.vm));
    const bool same =
        peer.info.availability_zone == this->options.self.availability_zone;
    (same ? own_zone : others).push_back({order, &peer});
  }

  size_t own_count = own_zone.size();
  size_t other_count = others.size();
  if (this->peers.size() > this->options.max_full_set) {
    own_count = std::min(own_count, this->options.bounded_own_zone);
    other_count = std::min(other_count, this->options.bounded_set - own_count);
    own_count =
        std::min(own_zone.size(), this->options.bounded_set - other_count);
  }

  const auto by_order = [](const Candidate& a, const Candidate& b) {
    return a.order < b.order;
  };
  std::sort(own_zone.begin(), own_zone.end(), by_order);
  std::sort(others.begin(), others.end(), by_order);

  std::vector<VmRef> out;
  for (size_t i = 0; i < own_count; ++i) {
    out.push_back(own_zone[i].peer->info.ref);
  }
  for (size_t i = 0; i < other_count; ++i) {
    out.push_back(others[i].peer->info.ref);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<PeerStatus> MembershipAgent::Peers(TimePoint now) const {
  std::vector<PeerStatus> out;
  for (const auto& [name, peer] : this->peers) {
    out.push_back(
        {.info = peer.info,
         .heard = peer.heard,
         .silent =
             this->SilentFor(now, peer.info.ref).value_or(Duration::max()),
         .listed = peer.listed,
         .leaving = peer.leaving || peer.last.draining(),
         .last = peer.last});
  }
  return out;
}

const pb::Heartbeat* MembershipAgent::LastHeartbeat(std::string_view vm) const {
  const auto found = this->peers.find(vm);
  return found == this->peers.end() || !found->second.heard
             ? nullptr
             : &found->second.last;
}

void MembershipAgent::Advance(TimePoint now) {
  const Duration step = this->StepTo(now);
  const bool jumped =
      this->last_call && now - *this->last_call != step && step == Duration(0);
  this->awake += step;
  this->last_call = now;
  if (!jumped) return;

  // Nobody could be heard during a pause, and after a clock jump the step is
  // not known: every peer gets the full time to be heard again.
  for (auto& [name, peer] : this->peers) peer.last_heard = this->awake;
}

Duration MembershipAgent::StepTo(TimePoint now) const {
  if (!this->last_call) return Duration(0);
  const Duration step = now - *this->last_call;
  const bool plausible = step >= Duration(0) && step <= this->options.max_step;
  return plausible ? step : Duration(0);
}

MembershipAgent::Peer* MembershipAgent::Note(const VmRef& from) {
  if (from.vm.empty() || from.incarnation == 0) return nullptr;
  Peer& peer = this->peers[from.vm];
  // A late message of an earlier incarnation says nothing about the present
  // one.
  if (from.incarnation < peer.info.ref.incarnation) return nullptr;

  if (from.incarnation > peer.info.ref.incarnation) {
    peer.info.ref = from;
    peer.last.Clear();
  }
  peer.heard = true;
  peer.last_heard = this->awake;
  return &peer;
}

void MembershipAgent::OnHeartbeat(const VmRef& from,
                                  const pb::Heartbeat& heartbeat, Outbox& out) {
  Peer& peer = this->peers[from.vm];
  peer.last = heartbeat;
  if (!heartbeat.availability_zone().empty()) {
    peer.info.availability_zone = heartbeat.availability_zone();
  }

  bool news = false;
  for (const pb::UpstreamHint& hint : heartbeat.upstreams()) {
    news = this->hints.NotePeer(this->awake, hint) || news;
  }

  if (heartbeat.reply_wanted()) {
    this->FillHeartbeat(*out.AddMessage(from).mutable_heartbeat());
  }
  // With a full peer set everybody has heard it from the first daemon.
  if (news && this->peers.size() > this->options.max_full_set) {
    this->SendAll(out);
  }
}

void MembershipAgent::SendAll(Outbox& out) {
  this->last_sent = this->awake;
  const bool bounded = this->peers.size() > this->options.max_full_set;
  for (const VmRef& peer : this->PeerSet()) {
    pb::Heartbeat& heartbeat = *out.AddMessage(peer).mutable_heartbeat();
    this->FillHeartbeat(heartbeat);
    // In a bounded set the peer may not have this daemon in its own set.
    heartbeat.set_reply_wanted(bounded);
  }
}

void MembershipAgent::FillHeartbeat(pb::Heartbeat& heartbeat) const {
  heartbeat.set_availability_zone(this->options.self.availability_zone);
  heartbeat.set_log_offset(this->own.log_offset);
  heartbeat.set_digest(this->own.digest);
  heartbeat.set_digest_offset(this->own.digest_offset);
  heartbeat.set_log_reachable(this->own.log_reachable);
  heartbeat.set_draining(this->draining);
  heartbeat.set_load(this->own.load);
  this->hints.Fill(this->awake, heartbeat);
}

void MembershipAgent::UpdateAlive() {
  this->alive.clear();
  for (const auto& [name, peer] : this->peers) {
    if (this->IsAlive(peer)) this->alive.push_back(peer.info);
  }
}

bool MembershipAgent::IsAlive(const Peer& peer) const {
  return peer.heard &&
         this->awake - peer.last_heard < this->options.suspect_after;
}

}  // namespace fuchsiadrum::membership
