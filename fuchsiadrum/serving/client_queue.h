#pragma once

#include <array>
#include <cstddef>
#include <list>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::serving {

/// What a client's connection waits for.
enum class ClientPhase {
  kReading,  // a request of which not all bytes have arrived, or the first one
  kIdle,     // the next request
  kUnread,   // the client, which does not take more of its answer
  kServed,   // the process itself: the request is being served
};

/// Options of a ClientQueue.
struct ClientQueueOptions {
  /// Connections that may be open; 0: no limit.
  size_t max_connections = 0;
  /// Requests arrive within some round trips, also after a lost packet.
  Duration min_stall = std::chrono::milliseconds(500);
  /// The next request of a caller that uses its connection again at once comes
  /// within this time.
  Duration min_idle = std::chrono::milliseconds(200);
  /// A client that takes nothing of a ready answer for that long does not read.
  Duration min_unread = std::chrono::seconds(3);
  /// Bytes that count as progress of a request, so that a byte now and then
  /// does not.
  size_t progress_bytes = 1024;
};

/// The connections of one address, by the last time that they made progress.
/// Says which one is closed first. Its operations take constant time.
class ClientQueue {
 public:
  /// One connection. A class derived from it does the reading and writing.
  class Client {
   public:
    Client() = default;
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ClientPhase Phase() const { return this->phase; }

   protected:
    ~Client() = default;

   private:
    friend class ClientQueue;
    ClientPhase phase = ClientPhase::kReading;
    bool is_queued = false;
    TimePoint since;
    size_t bytes = 0;
    std::list<Client*>::iterator position;
  };

  explicit ClientQueue(const ClientQueueOptions& queue_options)
      : options(queue_options) {}

  /// Adds a connection that was just accepted; its first request is awaited.
  void Add(Client& client, TimePoint now);
  /// Removes the connection; nothing happens if it is not there.
  void Remove(Client& client);
  /// The connection waits for something else from now on.
  void SetPhase(Client& client, ClientPhase phase, TimePoint now);
  /// Bytes of the request have arrived, or of the answer were taken.
  void OnBytes(Client& client, size_t bytes, TimePoint now);
  /// The connection is alive although nothing was read yet: it goes to the end
  /// of the order.
  void Touch(Client& client, TimePoint now);

  size_t Size() const { return this->size; }
  bool IsFull() const {
    return this->options.max_connections > 0 &&
           this->size >= this->options.max_connections;
  }
  /// The connection to close so that another one can be opened; nullptr if all
  /// are in use.
  Client* FirstForConnection(TimePoint now) const;
  /// The connection to close so that the request of `other` gets memory;
  /// nullptr if none is stalled.
  Client* FirstForMemory(const Client& other, TimePoint now) const;

 private:
  static constexpr size_t kPhases = 4;
  const std::list<Client*>& ListOf(ClientPhase phase) const {
    return this->lists[static_cast<size_t>(phase)];
  }
  std::list<Client*>& ListOf(ClientPhase phase) {
    return this->lists[static_cast<size_t>(phase)];
  }
  /// The connection that has been in the phase for longest, if at least for
  /// this time.
  Client* Oldest(ClientPhase phase, Duration least, TimePoint now) const;

  ClientQueueOptions options;
  /// Connections of each phase, the oldest first.
  std::array<std::list<Client*>, kPhases> lists;
  size_t size = 0;
};

}  // namespace fuchsiadrum::serving
