#include "daemon/client_gate.h"

#include <sys/resource.h>

namespace fuchsiadrum::daemon {
namespace {

using serving::ClientPhase;

/// Connections that are looked at for one that can be closed. More have unread
/// bytes only if the process lags behind; then the new connection is refused.
constexpr int kMaxTries = 32;

}  // namespace

size_t SystemDescriptors() {
  rlimit limit{};
  const bool is_known =
      getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return is_known ? limit.rlim_cur : 0;
}

bool ClientGate::CloseFirst(TimePoint now) {
  auto* first = static_cast<GatedClient*>(this->queue.FirstForConnection(now));
  if (first == nullptr) return false;
  // The unread bytes of a client that does not read its answers are none that
  // the process waits for.
  if (first->Phase() != ClientPhase::kUnread && first->HasUnreadBytes()) {
    this->queue.Touch(*first, now);
    return true;
  }
  this->count(GateAction::kClosedForConnection);
  this->queue.Remove(*first);
  first->CloseForOthers();
  return true;
}

bool ClientGate::MakeRoom(TimePoint now) {
  for (int i = 0; i < kMaxTries && this->queue.IsFull(); ++i) {
    if (!this->CloseFirst(now)) break;
  }
  if (!this->queue.IsFull()) return true;
  this->count(GateAction::kRefusedConnection);
  return false;
}

bool ClientGate::FreeMemory(const GatedClient& other, TimePoint now) {
  for (int i = 0; i < kMaxTries; ++i) {
    auto* first =
        static_cast<GatedClient*>(this->queue.FirstForMemory(other, now));
    if (first == nullptr) return false;
    if (first->Phase() != ClientPhase::kUnread && first->HasUnreadBytes()) {
      this->queue.Touch(*first, now);
      continue;
    }
    this->count(GateAction::kClosedForMemory);
    this->queue.Remove(*first);
    first->CloseForOthers();
    return true;
  }
  return false;
}

void ClientGate::OnAcceptFailure(TimePoint now) {
  this->count(GateAction::kNotAccepted);
  static_cast<void>(this->CloseFirst(now));
}

}  // namespace fuchsiadrum::daemon
