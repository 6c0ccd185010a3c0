#include "fuchsiadrum/membership/upstream_hints.h"

namespace fuchsiadrum::membership {

bool UpstreamHints::NoteOwn(Duration awake, std::string_view upstream) {
  this->Expire(awake);
  const auto [it, is_new] = this->hints.try_emplace(std::string(upstream));
  if (is_new) it->second.first = awake;
  it->second.forward_until = awake + kForward;
  it->second.keep_until = awake + kKeep;
  return is_new;
}

bool UpstreamHints::NotePeer(Duration awake, const pb::UpstreamHint& hint) {
  if (!hint.leaving() || hint.upstream().empty()) return false;
  this->Expire(awake);
  const auto [it, is_new] = this->hints.try_emplace(hint.upstream());
  if (!is_new) return false;
  it->second = {.first = awake,
                .forward_until = awake + kForward,
                .keep_until = awake + kKeep};
  return true;
}

void UpstreamHints::Expire(Duration awake) {
  std::erase_if(this->hints, [&](const auto& item) {
    return item.second.keep_until <= awake;
  });
}

void UpstreamHints::Fill(Duration awake, pb::Heartbeat& heartbeat) const {
  for (const auto& [upstream, hint] : this->hints) {
    if (hint.forward_until <= awake) continue;
    pb::UpstreamHint& out = *heartbeat.add_upstreams();
    out.set_upstream(upstream);
    out.set_leaving(true);
  }
}

std::vector<std::string> UpstreamHints::Leaving(Duration awake) const {
  std::vector<std::string> out;
  for (const auto& [upstream, hint] : this->hints) {
    if (hint.keep_until > awake) out.push_back(upstream);
  }
  return out;
}

}  // namespace fuchsiadrum::membership
