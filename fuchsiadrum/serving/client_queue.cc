#include "fuchsiadrum/serving/client_queue.h"

namespace fuchsiadrum::serving {

void ClientQueue::Add(Client& client, TimePoint now) {
  if (client.is_queued) return;
  client.phase = ClientPhase::kReading;
  client.since = now;
  client.bytes = 0;
  auto& list = this->ListOf(client.phase);
  client.position = list.insert(list.end(), &client);
  client.is_queued = true;
  ++this->size;
}

void ClientQueue::Remove(Client& client) {
  if (!client.is_queued) return;
  this->ListOf(client.phase).erase(client.position);
  client.is_queued = false;
  --this->size;
}

void ClientQueue::SetPhase(Client& client, ClientPhase phase, TimePoint now) {
  if (!client.is_queued) return;
  auto& to = this->ListOf(phase);
  to.splice(to.end(), this->ListOf(client.phase), client.position);
  client.phase = phase;
  client.since = now;
  client.bytes = 0;
}

void ClientQueue::OnBytes(Client& client, size_t bytes, TimePoint now) {
  client.bytes += bytes;
  if (client.bytes < this->options.progress_bytes) return;
  this->Touch(client, now);
}

void ClientQueue::Touch(Client& client, TimePoint now) {
  this->SetPhase(client, client.phase, now);
}

ClientQueue::Client* ClientQueue::Oldest(ClientPhase phase, Duration least,
                                         TimePoint now) const {
  const auto& list = this->ListOf(phase);
  if (list.empty() || now - list.front()->since < least) return nullptr;
  return list.front();
}

ClientQueue::Client* ClientQueue::FirstForConnection(TimePoint now) const {
  Client* first =
      this->Oldest(ClientPhase::kReading, this->options.min_stall, now);
  if (first == nullptr) {
    first = this->Oldest(ClientPhase::kIdle, this->options.min_idle, now);
  }
  if (first == nullptr) {
    first = this->Oldest(ClientPhase::kUnread, this->options.min_unread, now);
  }
  if (first == nullptr) {
    first = this->Oldest(ClientPhase::kReading, Duration::zero(), now);
  }
  return first;
}

ClientQueue::Client* ClientQueue::FirstForMemory(const Client& other,
                                                 TimePoint now) const {
  Client* first =
      this->Oldest(ClientPhase::kReading, this->options.min_stall, now);
  if (first == nullptr) {
    first = this->Oldest(ClientPhase::kUnread, this->options.min_unread, now);
  }
  return first == &other ? nullptr : first;
}

}  // namespace fuchsiadrum::serving
