#include "daemon/connection_pool.h"

#include <utility>

namespace fuchsiadrum::daemon {

std::shared_ptr<HttpClientConnection> ConnectionPool::Take(
    const std::string& address) {
  auto& connections = this->idle[address];
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (connection->IsReusable()) return connection;
    connection->Close();
  }
  return nullptr;
}

std::shared_ptr<HttpClientConnection> ConnectionPool::New() {
  return std::make_shared<HttpClientConnection>(this->context, this->faults);
}

void ConnectionPool::Give(const std::string& address,
                          std::shared_ptr<HttpClientConnection> connection) {
  auto& connections = this->idle[address];
  if (connections.size() < this->max_idle_connections &&
      connection->IsReusable()) {
    connections.push_back(std::move(connection));
  } else {
    connection->Close();
  }
}

void ConnectionPool::CloseAll(const std::string& address) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) return;
  for (const auto& connection : found->second) connection->Close();
  this->idle.erase(found);
}

}  // namespace fuchsiadrum::daemon
