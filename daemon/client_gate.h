#pragma once

#include <functional>

#include "fuchsiadrum/serving/client_queue.h"

namespace fuchsiadrum::daemon {

/// What a ClientGate has done because connections or memory are short.
enum class GateAction {
  kClosedForConnection,  // closed a connection so that another one fits
  kRefusedConnection,    // refused a new one, because all others are in use
  kNotAccepted,          // a connection could not be accepted: no descriptor
  kClosedForMemory,      // closed a stalled connection that held memory
};

/// Descriptors that the system allows this process; 0: not known.
size_t SystemDescriptors();

/// A client's connection that can be closed in favour of others.
class GatedClient : public serving::ClientQueue::Client {
 public:
  /// True if bytes have arrived that were not read yet.
  virtual bool HasUnreadBytes() = 0;
  /// Closes the connection at once and gives back what it holds.
  virtual void CloseForOthers() = 0;

 protected:
  ~GatedClient() = default;
};

/// The connections of one address. Closes the ones that make no progress when
/// connections or memory are short.
class ClientGate {
 public:
  /// `action_counter` is called for each action.
  ClientGate(const serving::ClientQueueOptions& queue_options,
             std::function<void(GateAction)> action_counter)
      : queue(queue_options), count(std::move(action_counter)) {}

  /// Only GatedClients may be added.
  serving::ClientQueue& Queue() { return this->queue; }
  /// Makes room for one more connection. Returns false if all are in use; the
  /// new connection is to be refused then.
  bool MakeRoom(TimePoint now);
  /// Closes a connection that is stalled and holds memory. Returns false if
  /// there is none but `other`.
  bool FreeMemory(const GatedClient& other, TimePoint now);
  /// A connection could not be accepted: closes another one.
  void OnAcceptFailure(TimePoint now);

 private:
  /// Returns false if there is nothing to close.
  bool CloseFirst(TimePoint now);

  serving::ClientQueue queue;
  std::function<void(GateAction)> count;
};

}  // namespace fuchsiadrum::daemon
